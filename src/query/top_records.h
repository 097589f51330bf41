// Merges the replies of shards: records of a fixed size in no order.

#ifndef MEDLARSPREAD_QUERY_TOP_RECORDS_H_
#define MEDLARSPREAD_QUERY_TOP_RECORDS_H_

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace medlarspread::query {

constexpr std::size_t kRecordBytes = 16;

// The greatest `most` records of all parts, compared byte by byte, greatest
// first. Equal records all count. What is left over at the end of a part and
// shorter than a record is none.
std::string TopRecords(const std::vector<std::string>& parts, std::size_t most);

}  // namespace medlarspread::query

#endif  // MEDLARSPREAD_QUERY_TOP_RECORDS_H_
