// A constant table of the values of an enum class and their names, so that
// logs, settings and wire formats use the same spelling.

#ifndef MEDLARSPREAD_BASE_NAME_TABLE_H_
#define MEDLARSPREAD_BASE_NAME_TABLE_H_

#include <array>
#include <cstddef>
#include <optional>
#include <string_view>
#include <utility>

namespace medlarspread::base {

template <typename Enum, std::size_t kSize>
struct NameTable {
  std::array<std::pair<Enum, const char*>, kSize> rows;

  // The name of `value`, or "invalid" if the table does not list it.
  constexpr const char* NameOf(Enum value) const {
    for (const auto& row : rows) {
      if (row.first == value) {
        return row.second;
      }
    }
    return "invalid";
  }

  // The value called `name`, or std::nullopt if the table does not list it.
  constexpr std::optional<Enum> ValueOf(std::string_view name) const {
    for (const auto& row : rows) {
      if (name == row.second) {
        return row.first;
      }
    }
    return std::nullopt;
  }
};

}  // namespace medlarspread::base

#endif  // MEDLARSPREAD_BASE_NAME_TABLE_H_
