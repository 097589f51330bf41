// Claims decide which daemon may send a non-idempotent request upstream. The
// query sessions ask for one through this port before anything is sent.

#ifndef MEDLARSPREAD_CLAIMS_CLAIM_PORT_H_
#define MEDLARSPREAD_CLAIMS_CLAIM_PORT_H_

#include <functional>
#include <string>

#include "src/base/clock.h"
#include "src/base/error.h"

namespace medlarspread::claims {

enum class ClaimOutcome {
  // This daemon's nonce is recorded: it alone may send, once.
  kGranted,
  // Another nonce is recorded: the request may have run or be running.
  kTaken,
  // Certainly not recorded under this nonce, and nothing was sent: not run.
  kRefused,
  // It could not be settled before the deadline whether the claim is recorded.
  // Nothing was sent by this daemon and nothing ever will be.
  kUnsettled,
  // The identifier is older than the retention, or from the future.
  kExpired,
};

const char* ClaimOutcomeName(ClaimOutcome outcome);

struct ClaimResult {
  ClaimOutcome outcome = ClaimOutcome::kRefused;
  // Set unless granted.
  base::Error error;
  base::Duration retry_after{};
};

// Calls back once. `nonce` must be new for each call of each incarnation.
using ClaimPort = std::function<void(std::string request_id,
                                     std::string nonce,
                                     base::Duration deadline_left,
                                     std::function<void(ClaimResult)>)>;

}  // namespace medlarspread::claims

#endif  // MEDLARSPREAD_CLAIMS_CLAIM_PORT_H_
