// Highest-random-weight ranking with XXH64.

#include "src/base/rendezvous.h"

#include <algorithm>
#include <cstdint>
#include <utility>

#include <xxhash.h>

namespace medlarspread::base {

std::vector<std::string> RankByRendezvous(std::string_view key,
                                          std::vector<std::string> candidates) {
  const std::uint64_t seed = XXH64(key.data(), key.size(), 0);
  std::vector<std::pair<std::uint64_t, std::string>> weighted;
  weighted.reserve(candidates.size());
  for (std::string& name : candidates) {
    weighted.emplace_back(XXH64(name.data(), name.size(), seed),
                          std::move(name));
  }
  // Ties are broken by name, so that all daemons agree.
  std::sort(weighted.begin(), weighted.end(), std::greater<>());
  std::vector<std::string> ranked;
  ranked.reserve(weighted.size());
  for (auto& [weight, name] : weighted) {
    ranked.push_back(std::move(name));
  }
  return ranked;
}

}  // namespace medlarspread::base
