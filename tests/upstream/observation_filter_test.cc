// Tests which replies are passed to the control thread.

#include "src/upstream/observation_filter.h"

#include <gtest/gtest.h>

namespace medlarspread::upstream {
namespace {

using blackboard::UpstreamState;

constexpr base::MonotonicTime kStart{1'000'000};
constexpr base::Duration kInterval = base::Milliseconds(500);

class ObservationFilterTest : public testing::Test {
 protected:
  bool ShouldPassOn(LeafOutcome outcome,
                    std::optional<UpstreamState> state,
                    base::MonotonicTime now) {
    LeafReply reply;
    reply.outcome = outcome;
    reply.state = state;
    return filter_.ShouldPassOn(known_, reply, now);
  }

  blackboard::Upstream known_;
  ObservationFilter filter_{kInterval};
};

TEST_F(ObservationFilterTest, PassesOneSuccessPerInterval) {
  const auto should_pass_on = [this](base::Duration age) {
    return ShouldPassOn(LeafOutcome::kAnswered, UpstreamState::kServing,
                        kStart + age);
  };
  EXPECT_TRUE(should_pass_on(base::Milliseconds(0)));
  EXPECT_FALSE(should_pass_on(base::Milliseconds(499)));
  EXPECT_TRUE(should_pass_on(base::Milliseconds(500)));
  EXPECT_FALSE(should_pass_on(base::Milliseconds(501)));
}

TEST_F(ObservationFilterTest, PassesTheSuccessThatEndsARowOfFailures) {
  const auto answer = [this] {
    return ShouldPassOn(LeafOutcome::kAnswered, UpstreamState::kServing,
                        kStart);
  };
  EXPECT_TRUE(answer());
  EXPECT_FALSE(answer());
  EXPECT_TRUE(ShouldPassOn(LeafOutcome::kTimeout, std::nullopt, kStart));
  EXPECT_TRUE(answer());
  EXPECT_FALSE(answer());
}

TEST_F(ObservationFilterTest, BoundsFailuresButNeverHoldsBackDraining) {
  int passed = 0;
  for (int i = 0; i < 1'000; ++i) {
    passed += ShouldPassOn(LeafOutcome::kTimeout, std::nullopt, kStart) ? 1 : 0;
  }
  EXPECT_GE(passed, 5);
  EXPECT_LE(passed, 16);
  EXPECT_TRUE(
      ShouldPassOn(LeafOutcome::kDraining, UpstreamState::kDraining, kStart));
  EXPECT_TRUE(
      ShouldPassOn(LeafOutcome::kTimeout, std::nullopt, kStart + kInterval));
}

}  // namespace
}  // namespace medlarspread::upstream
