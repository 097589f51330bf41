// Claims determine which daemon may send a non-idempotent request upstream. The
// query sessions obtain one through this port before they send anything.

#ifndef MEDLARSPREAD_CLAIMS_CLAIM_PORT_H_
#define MEDLARSPREAD_CLAIMS_CLAIM_PORT_H_

#include <functional>
#include <string>

#include "src/base/clock.h"
#include "src/base/error.h"

namespace medlarspread::claims {

enum class ClaimOutcome {
  // This daemon's nonce is recorded: only this daemon may send the request,
  // once.
  kGranted,
  // Another nonce is recorded: the request may be executing or have been
  // executed.
  kTaken,
  // Certainly not recorded with this nonce, and nothing was sent: not executed.
  kRefused,
  // Whether the claim is recorded could not be determined before the deadline.
  // This daemon has sent nothing and will not.
  kUnsettled,
  // The identifier is older than the retention period, or from the future.
  kExpired,
};

const char* ClaimOutcomeName(ClaimOutcome outcome);

struct ClaimResult {
  ClaimOutcome outcome = ClaimOutcome::kRefused;
  // Set unless granted.
  base::Error error;
  base::Duration retry_after{};
};

// The callback runs once. `nonce` must be unique over all calls and
// incarnations.
using ClaimPort = std::function<void(std::string request_id,
                                     std::string nonce,
                                     base::Duration deadline_left,
                                     std::function<void(ClaimResult)>)>;

}  // namespace medlarspread::claims

#endif  // MEDLARSPREAD_CLAIMS_CLAIM_PORT_H_
