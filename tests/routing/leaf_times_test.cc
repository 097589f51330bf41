// Tests that a slow leaf is detected until it has recovered, and that
// stragglers and small differences are not reported.

#include "src/routing/leaf_times.h"

#include <gtest/gtest.h>

namespace medlarspread::routing {
namespace {

using base::Duration;
using base::Milliseconds;

class LeafTimesTest : public testing::Test {
 protected:
  void SetUp() override {
    for (int round = 0; round < 400; ++round) {
      for (const char* leaf : {"a", "b", "c", "d"}) {
        times_.DidAnswer(leaf, Milliseconds(4 + round % 3));
      }
    }
  }

  LeafTimes times_;
};

TEST_F(LeafTimesTest, OrdinaryLeavesDoNotStandOut) {
  EXPECT_NEAR(base::ToMilliseconds(times_.typical()), 5.0, 1.0);
  EXPECT_EQ(times_.ExcessOf("a"), Duration::zero());
  EXPECT_EQ(times_.ExcessOf("never seen"), Duration::zero());
}

TEST_F(LeafTimesTest, StragglersDoNotStandOut) {
  for (int i = 0; i < 2; ++i) {
    times_.DidAnswer("a", Milliseconds(50));
  }
  EXPECT_EQ(times_.ExcessOf("a"), Duration::zero());
  // The same holds for the first answer of a new leaf.
  times_.DidAnswer("e", Milliseconds(50));
  EXPECT_EQ(times_.ExcessOf("e"), Duration::zero());
}

TEST_F(LeafTimesTest, SlowLeafStandsOutUntilItIsFastAgain) {
  for (int i = 0; i < 50; ++i) {
    times_.DidAnswer("a", Milliseconds(50));
    times_.DidAnswer("b", Milliseconds(5));
    times_.DidAnswer("c", Milliseconds(5));
  }
  EXPECT_GT(times_.ExcessOf("a"), Milliseconds(35));
  EXPECT_EQ(times_.ExcessOf("b"), Duration::zero());
  for (int i = 0; i < 15; ++i) {
    times_.DidAnswer("a", Milliseconds(5));
  }
  EXPECT_EQ(times_.ExcessOf("a"), Duration::zero());
}

}  // namespace
}  // namespace medlarspread::routing
