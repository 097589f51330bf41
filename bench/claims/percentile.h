// Percentiles of the waits that the claims benches collect.

#ifndef MEDLARSPREAD_BENCH_CLAIMS_PERCENTILE_H_
#define MEDLARSPREAD_BENCH_CLAIMS_PERCENTILE_H_

#include <algorithm>
#include <cstddef>
#include <vector>

#include "src/base/clock.h"

namespace medlarspread::claims {

// `share` is 0 to 1; in milliseconds; 0 without waits.
inline double Percentile(std::vector<base::Duration> waits, double share) {
  if (waits.empty()) {
    return 0.0;
  }
  const auto place =
      static_cast<std::size_t>(share * static_cast<double>(waits.size() - 1));
  std::nth_element(waits.begin(),
                   waits.begin() + static_cast<std::ptrdiff_t>(place),
                   waits.end());
  return base::ToMilliseconds(waits[place]);
}

}  // namespace medlarspread::claims

#endif  // MEDLARSPREAD_BENCH_CLAIMS_PERCENTILE_H_
