// What the claims part of one daemon did since it started, for the metrics page
// and for the capacity bench.

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
  // Swaps that were refused because another daemon wrote the key.
  std::int64_t conflicts = 0;
  // Swaps whose outcome was not known at first.
  std::int64_t unknown_swaps = 0;
  // Bytes of values sent with swaps.
  std::int64_t bytes_written = 0;

  // Outcomes of the claims that this daemon's own sessions asked for.
  std::int64_t granted = 0;
  std::int64_t taken = 0;
  std::int64_t refused = 0;
  std::int64_t unsettled = 0;
  std::int64_t expired = 0;

  // The store was found to have lost writes that it had confirmed.
  std::int64_t lost_states = 0;
  // One identifier was found under two nonces: the store lost the first.
  std::int64_t clashes = 0;
};

}  // namespace medlarspread::claims

#endif  // MEDLARSPREAD_CLAIMS_CLAIM_COUNTS_H_
