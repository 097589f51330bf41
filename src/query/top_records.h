// Merges the replies of shards, which are unordered records of fixed size.

#ifndef MEDLARSPREAD_QUERY_TOP_RECORDS_H_
#define MEDLARSPREAD_QUERY_TOP_RECORDS_H_

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace medlarspread::query {

constexpr std::size_t kRecordBytes = 16;

// Returns the greatest `most` records of all parts, compared byte by byte,
// greatest first. Duplicates are kept. Trailing bytes of a part that do not
// fill a record are ignored.
std::string TopRecords(const std::vector<std::string>& parts, std::size_t most);

}  // namespace medlarspread::query

#endif  // MEDLARSPREAD_QUERY_TOP_RECORDS_H_
