// A claim that is waiting to be recorded under its key.

#ifndef MEDLARSPREAD_CLAIMS_PENDING_CLAIM_H_
#define MEDLARSPREAD_CLAIMS_PENDING_CLAIM_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

#include "src/base/clock.h"
#include "src/base/error.h"
#include "src/claims/claim_port.h"

namespace medlarspread::claims {

// The error is unspecified if the outcome is kGranted.
using DidSettle = std::function<void(ClaimOutcome, const base::Error&)>;

struct PendingClaim {
  std::string request_id;
  std::string nonce;
  std::int64_t made_at_ms = 0;
  base::MonotonicTime deadline;
  // Runs once, asynchronously, on the claims' sequence.
  DidSettle did_settle;

  // The number of store calls that failed while this claim was waiting.
  int failures = 0;
  // The version that a swap of unknown outcome expected. Until the key has a
  // higher version, that swap may still record this claim.
  std::optional<std::int64_t> unknown_swap;
};

}  // namespace medlarspread::claims

#endif  // MEDLARSPREAD_CLAIMS_PENDING_CLAIM_H_
