// The ranking is stable and complete, and removing a candidate moves only its
// own keys.

#include "src/base/rendezvous.h"

#include <algorithm>
#include <map>

#include <gtest/gtest.h>

namespace medlarspread::base {
namespace {

TEST(RendezvousTest, OrderOfCandidatesDoesNotMatter) {
  EXPECT_EQ(RankByRendezvous("k", {"a", "b", "c"}),
            RankByRendezvous("k", {"c", "a", "b"}));
}

TEST(RendezvousTest, LosingACandidateMovesOnlyItsKeys) {
  const std::vector<std::string> all = {"a", "b", "c", "d", "e"};
  std::map<std::string, int> first_counts;
  for (int i = 0; i < 1000; ++i) {
    const std::string key = "key" + std::to_string(i);
    auto before = RankByRendezvous(key, all);
    ++first_counts[before.front()];
    auto without = all;
    std::erase(without, "c");
    std::erase(before, "c");
    EXPECT_EQ(RankByRendezvous(key, without), before);
  }
  for (const auto& [name, count] : first_counts) {
    EXPECT_GT(count, 120) << name;
    EXPECT_LT(count, 280) << name;
  }
}

}  // namespace
}  // namespace medlarspread::base
