// Tests how replies change the in-flight limits of leaves.

#include "src/routing/leaf_windows.h"

#include <gtest/gtest.h>

namespace medlarspread::routing {
namespace {

using base::Milliseconds;
using upstream::LeafOutcome;
using upstream::LeafReply;

class LeafWindowsTest : public testing::Test {
 protected:
  LeafWindowsTest() {
    leaf_.name = "leaf-1";
    leaf_.slots = 2;
    leaf_.connections = 25;
  }

  void Exchange(LeafOutcome outcome, std::int64_t service_ms) {
    ASSERT_TRUE(windows_.TryAcquire(leaf_));
    LeafReply reply;
    reply.outcome = outcome;
    reply.service_time = Milliseconds(service_ms);
    reply.retry_after = Milliseconds(40);
    windows_.Release(leaf_.name, reply);
  }

  std::shared_ptr<base::ManualTime> time_ =
      std::make_shared<base::ManualTime>(1'000'000, 0);
  LeafWindows windows_{QueueOwnerPolicy{}, base::Clock(time_)};
  blackboard::Upstream leaf_;
};

// Connections that are refused immediately must not count as fast answers,
// since normal answers would look slow in comparison.
TEST_F(LeafWindowsTest, FailuresAreNotServiceTimes) {
  for (int i = 0; i < 200; ++i) {
    Exchange(LeafOutcome::kUnreachable, 0);
  }
  for (int i = 0; i < 200; ++i) {
    Exchange(LeafOutcome::kAnswered, 5);
  }
  EXPECT_EQ(windows_.limit(leaf_), 3);
}

TEST_F(LeafWindowsTest, SheddingLeafIsAvoidedUntilRetryAfter) {
  Exchange(LeafOutcome::kShed, 0);
  EXPECT_FALSE(windows_.has_room(leaf_));
  time_->Advance(Milliseconds(39));
  EXPECT_FALSE(windows_.TryAcquire(leaf_));
  time_->Advance(Milliseconds(1));
  EXPECT_TRUE(windows_.TryAcquire(leaf_));
}

TEST_F(LeafWindowsTest, EachColdStartIsSlow) {
  for (std::int64_t start = 1; start <= 2; ++start) {
    leaf_.state = blackboard::UpstreamState::kCold;
    leaf_.cold_since = {start};
    EXPECT_EQ(windows_.limit(leaf_), 1);
    for (int i = 0; i < 60; ++i) {
      time_->Advance(Milliseconds(50));
      Exchange(LeafOutcome::kAnswered, 5);
    }
    EXPECT_EQ(windows_.limit(leaf_), 3);
  }
}

}  // namespace
}  // namespace medlarspread::routing
