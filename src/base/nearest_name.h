// Finds the most likely intended name for a misspelt one, for "did you mean"
// hints in error messages.

#ifndef MEDLARSPREAD_BASE_NEAREST_NAME_H_
#define MEDLARSPREAD_BASE_NEAREST_NAME_H_

#include <string>
#include <string_view>
#include <vector>

namespace medlarspread::base {

// The entry of `candidates` with the smallest edit distance to `name`, or an
// empty string if none is close enough to be a likely misspelling.
std::string NearestName(std::string_view name,
                        const std::vector<std::string>& candidates);

}  // namespace medlarspread::base

#endif  // MEDLARSPREAD_BASE_NEAREST_NAME_H_
