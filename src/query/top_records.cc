// Partially sorts views into the parts.

#include "src/query/top_records.h"

#include <algorithm>
#include <functional>

namespace medlarspread::query {

std::string TopRecords(const std::vector<std::string>& parts,
                       std::size_t most) {
  std::vector<std::string_view> records;
  for (const std::string_view part : parts) {
    for (std::size_t at = 0; at + kRecordBytes <= part.size();
         at += kRecordBytes) {
      records.push_back(part.substr(at, kRecordBytes));
    }
  }
  // NOTE: string_view compares characters as unsigned bytes.
  const std::size_t count = std::min(most, records.size());
  std::partial_sort(records.begin(),
                    records.begin() + static_cast<std::ptrdiff_t>(count),
                    records.end(), std::greater<>());
  std::string merged;
  merged.reserve(count * kRecordBytes);
  for (std::size_t index = 0; index < count; ++index) {
    merged += records[index];
  }
  return merged;
}

}  // namespace medlarspread::query
