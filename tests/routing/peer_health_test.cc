#include "src/routing/peer_health.h"

#include <gtest/gtest.h>

namespace medlarspread::routing {
namespace {

using base::Milliseconds;

class PeerHealthTest : public testing::Test {
 protected:
  const std::shared_ptr<base::ManualTime> time_ =
      std::make_shared<base::ManualTime>(1'000'000, 0);
  PeerHealth health_{base::Clock(time_)};
};

TEST_F(PeerHealthTest, AFailureAvoidsThePeerForASecond) {
  EXPECT_FALSE(health_.is_avoided("a"));
  EXPECT_EQ(health_.DidFail("a"), Milliseconds(1'000));
  EXPECT_TRUE(health_.is_avoided("a"));
  EXPECT_FALSE(health_.is_avoided("b"));
  time_->Advance(Milliseconds(1'000));
  EXPECT_FALSE(health_.is_avoided("a"));
}

TEST_F(PeerHealthTest, FurtherFailuresDoubleTheTimeUpToABound) {
  for (const std::int64_t seconds : {1, 2, 4, 8, 8}) {
    EXPECT_EQ(health_.DidFail("a"), Milliseconds(seconds * 1'000));
  }
}

TEST_F(PeerHealthTest, AnAnswerEndsTheAvoidance) {
  (void)health_.DidFail("a");
  health_.DidAnswer("a");
  EXPECT_FALSE(health_.is_avoided("a"));
  EXPECT_EQ(health_.DidFail("a"), Milliseconds(1'000));
}

}  // namespace
}  // namespace medlarspread::routing
