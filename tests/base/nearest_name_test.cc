// Suggestions for misspelt names.

#include <gtest/gtest.h>

#include "src/base/nearest_name.h"

namespace medlarspread::base {
namespace {

TEST(NearestNameTest, FindsTheLikelyMisspelling) {
  const std::vector<std::string> names = {"address", "threads", "token"};
  EXPECT_EQ(NearestName("adress", names), "address");
  EXPECT_EQ(NearestName("tokne", names), "token");
}

TEST(NearestNameTest, SuggestsNothingForAnotherWord) {
  const std::vector<std::string> names = {"address", "threads"};
  EXPECT_EQ(NearestName("region", names), "");
  EXPECT_EQ(NearestName("", names), "");
  EXPECT_EQ(NearestName(std::string(1000, 'a'), names), "");
}

}  // namespace
}  // namespace medlarspread::base
