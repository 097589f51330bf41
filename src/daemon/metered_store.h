// Counts the calls to the platform's key-value service, which is paid for by
// the call and bounded in rate.

#ifndef MEDLARSPREAD_DAEMON_METERED_STORE_H_
#define MEDLARSPREAD_DAEMON_METERED_STORE_H_

#include "src/base/clock.h"
#include "src/metrics/registry.h"
#include "src/store/store.h"

namespace medlarspread::daemon {

// Passes every call on to `store` and counts it in `registry`, which must
// outlive the last callback. A refused swap is a usable answer, no failure.
// Watches count as calls; their time is waiting and is left out of the latency.
store::Store MeterStore(store::Store store,
                        metrics::Registry& registry,
                        const base::Clock& clock);

}  // namespace medlarspread::daemon

#endif  // MEDLARSPREAD_DAEMON_METERED_STORE_H_
