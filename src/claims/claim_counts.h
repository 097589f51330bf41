// Counters of one daemon's claims since it started, for the metrics page and
// the capacity benchmark.

#ifndef MEDLARSPREAD_CLAIMS_CLAIM_COUNTS_H_
#define MEDLARSPREAD_CLAIMS_CLAIM_COUNTS_H_

#include <cstdint>

namespace medlarspread::claims {

struct ClaimCounts {
  // Calls to the store, whatever their outcome.
  std::int64_t swaps = 0;
  std::int64_t reads = 0;
  std::int64_t lists = 0;
  std::int64_t erases = 0;
  // Swaps rejected because another daemon had written the key.
  std::int64_t conflicts = 0;
  // Swaps whose outcome was unknown at first.
  std::int64_t unknown_swaps = 0;
  // Bytes of values sent with swaps.
  std::int64_t bytes_written = 0;

  // Outcomes of the claims requested by this daemon's own sessions.
  std::int64_t granted = 0;
  std::int64_t taken = 0;
  std::int64_t refused = 0;
  std::int64_t unsettled = 0;
  std::int64_t expired = 0;

  // How often the store was found to have lost confirmed writes.
  std::int64_t lost_states = 0;
  // Identifiers that were recorded with two nonces because the store lost the
  // first.
  std::int64_t duplicate_claims = 0;
};

}  // namespace medlarspread::claims

#endif  // MEDLARSPREAD_CLAIMS_CLAIM_COUNTS_H_
