// A shuffle that depends on the injected random source alone, unlike
// std::shuffle, whose results differ between standard libraries.

#ifndef MEDLARSPREAD_MEMBERSHIP_SHUFFLE_H_
#define MEDLARSPREAD_MEMBERSHIP_SHUFFLE_H_

#include <cstddef>
#include <string>
#include <utility>
#include <vector>

#include "src/base/random.h"

namespace medlarspread::membership {

inline void Shuffle(std::vector<std::string>& names, base::Random& random) {
  for (std::size_t i = names.size(); i > 1; --i) {
    std::swap(names[i - 1], names[random.Below(i)]);
  }
}

}  // namespace medlarspread::membership

#endif  // MEDLARSPREAD_MEMBERSHIP_SHUFFLE_H_
