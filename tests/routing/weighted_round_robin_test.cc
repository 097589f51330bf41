// Tests that shares hold after few requests, and that a change of the weights
// resets the credits.

#include "src/routing/weighted_round_robin.h"

#include <cmath>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace medlarspread::routing {
namespace {

using blackboard::WeightedCollections;

TEST(WeightedRoundRobinTest, SharesHoldToWithinOneRequest) {
  const WeightedCollections collections{{{"a", 0.7}, {"b", 0.25}, {"c", 0.05}}};
  WeightedRoundRobin round_robin;
  std::map<std::string, int> taken;
  for (int request = 1; request <= 300; ++request) {
    ++taken[round_robin.Next("r", collections)];
    for (const auto& part : collections.parts) {
      EXPECT_NEAR(taken[part.collection], part.weight * request, 1.0 + 1e-9);
    }
  }
}

TEST(WeightedRoundRobinTest, PartsWithoutWeightGetNothing) {
  const WeightedCollections collections{{{"a", 0.0}, {"b", 1.0}}};
  WeightedRoundRobin round_robin;
  for (int request = 0; request < 10; ++request) {
    EXPECT_EQ(round_robin.Next("r", collections), "b");
  }
  EXPECT_EQ(round_robin.Next("none", {{{"a", 0.0}}}), "");
}

TEST(WeightedRoundRobinTest, NewWeightsResetCredits) {
  WeightedRoundRobin round_robin;
  for (int request = 0; request < 7; ++request) {
    round_robin.Next("r", {{{"a", 9.0}, {"b", 1.0}}});
  }
  int taken = 0;
  for (int request = 0; request < 10; ++request) {
    taken += round_robin.Next("r", {{{"a", 1.0}, {"b", 1.0}}}) == "a" ? 1 : 0;
  }
  EXPECT_EQ(taken, 5);
}

RC_GTEST_PROP(WeightedRoundRobinProperty, EveryShareHolds, ()) {
  const auto weights =
      *rc::gen::container<std::vector<int>>(4, rc::gen::inRange(1, 20));
  WeightedCollections collections;
  double total = 0.0;
  for (std::size_t index = 0; index < weights.size(); ++index) {
    collections.parts.push_back(
        {std::to_string(index), static_cast<double>(weights[index])});
    total += weights[index];
  }
  WeightedRoundRobin round_robin;
  std::map<std::string, int> taken;
  constexpr int kRequests = 500;
  for (int request = 0; request < kRequests; ++request) {
    ++taken[round_robin.Next("r", collections)];
  }
  for (const auto& part : collections.parts) {
    RC_ASSERT(std::abs(taken[part.collection] -
                       part.weight / total * kRequests) <= 4.0);
  }
}

}  // namespace
}  // namespace medlarspread::routing
