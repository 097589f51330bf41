// State shared by all parts of one daemon's claims. Used on the claims'
// sequence only.

#ifndef MEDLARSPREAD_CLAIMS_CLAIM_CONTEXT_H_
#define MEDLARSPREAD_CLAIMS_CLAIM_CONTEXT_H_

#include <algorithm>
#include <cstdint>

#include "src/base/clock.h"
#include "src/base/log.h"
#include "src/base/random.h"
#include "src/base/task_runner.h"
#include "src/claims/claim_counts.h"
#include "src/claims/claim_protocol.h"
#include "src/claims/claim_settings.h"

namespace medlarspread::claims {

struct ClaimContext {
  ClaimSettings settings;
  base::Clock clock;
  base::Random& random;
  base::TaskRunner runner;
  base::Log log;
  ClaimCounts counts;

  // Identifiers created before this time are not claimed by this daemon any
  // more. Invariant: never decreases.
  std::int64_t min_claimable_ms = 0;

  // Called when the store has lost confirmed writes, as after a restore from an
  // older backup. Claims of identifiers created until now may be among the lost
  // ones, so they must not be granted again.
  void DidFindLostState() {
    ++counts.lost_states;
    min_claimable_ms =
        std::max(min_claimable_ms, clock.WallMilliseconds() +
                                       kAllowedClockDifferenceMilliseconds);
  }
};

}  // namespace medlarspread::claims

#endif  // MEDLARSPREAD_CLAIMS_CLAIM_CONTEXT_H_
