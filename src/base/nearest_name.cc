// NearestName by Levenshtein distance.

#include "src/base/nearest_name.h"

#include <algorithm>
#include <cstddef>
#include <numeric>

namespace medlarspread::base {

namespace {

std::size_t EditDistance(std::string_view left, std::string_view right) {
  // The current row of the Levenshtein matrix: the distances from a prefix of
  // `left` to each prefix of `right`.
  std::vector<std::size_t> row(right.size() + 1);
  std::iota(row.begin(), row.end(), 0);
  for (std::size_t i = 1; i <= left.size(); ++i) {
    std::size_t diagonal = row[0];
    row[0] = i;
    for (std::size_t j = 1; j <= right.size(); ++j) {
      const std::size_t above = row[j];
      const std::size_t replaced =
          diagonal + (left[i - 1] == right[j - 1] ? 0 : 1);
      row[j] = std::min({above + 1, row[j - 1] + 1, replaced});
      diagonal = above;
    }
  }
  return row[right.size()];
}

}  // namespace

std::string NearestName(std::string_view name,
                        const std::vector<std::string>& candidates) {
  // A candidate that differs in more than half of the letters is another word,
  // not a misspelling. The length is limited because the cost grows with it.
  constexpr std::size_t kMaxLength = 64;
  if (name.size() > kMaxLength) {
    return "";
  }
  std::string nearest;
  std::size_t nearest_distance = name.size() / 2 + 1;
  for (const std::string& candidate : candidates) {
    const std::size_t distance = EditDistance(name, candidate);
    if (distance < nearest_distance) {
      nearest_distance = distance;
      nearest = candidate;
    }
  }
  return nearest;
}

}  // namespace medlarspread::base
