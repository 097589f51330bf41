// Compares TopRecords with a plain sort.

#include "src/query/top_records.h"

#include <algorithm>
#include <functional>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace medlarspread::query {
namespace {

std::string Record(unsigned char first) {
  return std::string(1, static_cast<char>(first)) + std::string(15, '\0');
}

TEST(TopRecordsTest, GreatestFirstAsUnsignedBytes) {
  EXPECT_EQ(TopRecords({Record(1) + Record(200), Record(127)}, 2),
            Record(200) + Record(127));
}

TEST(TopRecordsTest, EqualRecordsAllCount) {
  EXPECT_EQ(TopRecords({Record(9), Record(9)}, 5), Record(9) + Record(9));
}

TEST(TopRecordsTest, AShortRemainderIsNoRecord) {
  EXPECT_EQ(TopRecords({Record(9) + "short"}, 5), Record(9));
  EXPECT_EQ(TopRecords({"short", ""}, 5), "");
}

RC_GTEST_PROP(TopRecordsProperty, SameAsSortingAll, ()) {
  const auto parts = *rc::gen::container<std::vector<std::string>>(
      rc::gen::container<std::string>(rc::gen::arbitrary<char>()));
  const auto most = *rc::gen::inRange<std::size_t>(0, 12);
  std::vector<std::string> records;
  for (const std::string& part : parts) {
    for (std::size_t at = 0; at + 16 <= part.size(); at += 16) {
      records.push_back(part.substr(at, 16));
    }
  }
  std::sort(records.begin(), records.end(), std::greater<>());
  std::string expected;
  for (std::size_t index = 0; index < std::min(most, records.size()); ++index) {
    expected += records[index];
  }
  RC_ASSERT(TopRecords(parts, most) == expected);
}

}  // namespace
}  // namespace medlarspread::query
