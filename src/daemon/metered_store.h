// Metrics for calls to the platform's key-value service, which bills per call
// and limits the rate of calls.

#ifndef MEDLARSPREAD_DAEMON_METERED_STORE_H_
#define MEDLARSPREAD_DAEMON_METERED_STORE_H_

#include "src/base/clock.h"
#include "src/metrics/registry.h"
#include "src/store/store.h"

namespace medlarspread::daemon {

// Wraps `store` so that every call is counted in `registry`, which must outlive
// the last callback. A compare-and-swap conflict and a missing key are normal
// results, not failures. Watches are counted as calls but left out of the
// latency distribution, since they spend their time waiting for a change.
store::Store MeterStore(store::Store store,
                        metrics::Registry& registry,
                        const base::Clock& clock);

}  // namespace medlarspread::daemon

#endif  // MEDLARSPREAD_DAEMON_METERED_STORE_H_
