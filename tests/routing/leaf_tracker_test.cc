// Tests the choice of the leaf for the next request.

#include "src/routing/leaf_tracker.h"

#include <gtest/gtest.h>

namespace medlarspread::routing {
namespace {

using base::Milliseconds;
using blackboard::Upstream;
using blackboard::UpstreamState;
using upstream::ForwardReply;
using upstream::LeafOutcome;

constexpr const char* kClass = "lookup";
constexpr bool kInTime = true;

class LeafTrackerTest : public testing::Test {
 protected:
  LeafTrackerTest() {
    for (Upstream* leaf : {&near_, &far_}) {
      leaf->slots = 2;
      leaves_.push_back(leaf);
    }
    near_.name = "near";
    near_.region = "north";
    near_.failure_domain = "n1";
    far_.name = "far";
    far_.region = "south";
    far_.failure_domain = "s1";
  }

  const Upstream* Choose(const std::set<std::string>& excluded = {}) {
    return ChooseFor({kClass, Milliseconds(100)}, excluded);
  }

  const Upstream* ChooseFor(const LeafRequirements& need,
                            const std::set<std::string>& excluded = {}) {
    return tracker_.Choose(
        leaves_, need,
        [&excluded](const Upstream& leaf) {
          return !excluded.contains(leaf.name);
        },
        [](const Upstream&) { return upstream::Readiness::kOpen; });
  }

  // Sends one request that ends with `outcome` after `milliseconds`.
  void Serve(const Upstream& leaf,
             int milliseconds,
             LeafOutcome outcome = LeafOutcome::kAnswered) {
    const base::MonotonicTime sent = clock_.Now();
    tracker_.DidSend(leaf, sent);
    time_->Advance(base::Milliseconds(milliseconds));
    ForwardReply reply;
    reply.outcome = outcome;
    reply.service_time = base::Milliseconds(milliseconds);
    tracker_.DidReply(leaf, kClass, sent, kInTime, reply);
  }

  void Learn() {
    for (int request = 0; request < 100; ++request) {
      Serve(near_, 8);
      Serve(far_, 24);
    }
  }

  const std::shared_ptr<base::ManualTime> time_ =
      std::make_shared<base::ManualTime>(1'000'000, 0);
  const base::Clock clock_{time_};
  Upstream near_;
  Upstream far_;
  LeafIndex::Leaves leaves_;
  LeafTracker tracker_{{"north", "n1"},
                       clock_,
                       std::make_shared<base::Random>(1)};
};

TEST_F(LeafTrackerTest, TakesTheOwnFailureDomainFirst) {
  EXPECT_EQ(Choose(), &near_);
  Learn();
  EXPECT_EQ(Choose(), &near_);
}

TEST_F(LeafTrackerTest, AvoidsALeafWithAnOverdueRequest) {
  Learn();
  tracker_.DidSend(near_, clock_.Now());
  time_->Advance(base::Milliseconds(50));
  EXPECT_EQ(Choose(), &far_);
}

TEST_F(LeafTrackerTest, ReturnsWithTheFirstReplyAfterAPause) {
  Learn();
  const base::MonotonicTime sent = clock_.Now();
  tracker_.DidSend(near_, sent);
  time_->Advance(base::Milliseconds(100));
  tracker_.DidStall(near_, kClass, Milliseconds(100));
  EXPECT_EQ(Choose(), &far_);
  ForwardReply reply;
  reply.outcome = LeafOutcome::kAnswered;
  reply.service_time = base::Milliseconds(100);
  tracker_.DidReply(near_, kClass, sent, kInTime, reply);
  EXPECT_EQ(Choose(), &near_);
}

TEST_F(LeafTrackerTest, AvoidsALeafThatIsSlowForEveryRequest) {
  Learn();
  for (int request = 0; request < 10; ++request) {
    Serve(near_, 70);
  }
  EXPECT_EQ(Choose(), &far_);
  // After a few seconds it is tried again.
  time_->Advance(base::Milliseconds(8'000));
  EXPECT_EQ(Choose(), &near_);
}

TEST_F(LeafTrackerTest, AvoidsALeafThatFailsForLongerEachTime) {
  Learn();
  Serve(near_, 1, LeafOutcome::kUnreachable);
  EXPECT_EQ(Choose(), &far_);
  time_->Advance(Milliseconds(2'000));
  EXPECT_EQ(Choose(), &near_);
  Serve(near_, 1, LeafOutcome::kUnreachable);
  Serve(near_, 1, LeafOutcome::kUnreachable);
  time_->Advance(Milliseconds(2'000));
  EXPECT_EQ(Choose(), &far_);
  time_->Advance(Milliseconds(4'000));
  EXPECT_EQ(Choose(), &near_);
}

TEST_F(LeafTrackerTest, AFailingLeafIsBetterThanNone) {
  Serve(near_, 1, LeafOutcome::kLost);
  EXPECT_EQ(Choose({"far"}), &near_);
}

TEST_F(LeafTrackerTest, NeverTakesADrainingLeaf) {
  near_.state = UpstreamState::kDraining;
  EXPECT_EQ(Choose(), &far_);
  EXPECT_EQ(Choose({"far"}), nullptr);
}

TEST_F(LeafTrackerTest, SkipsALeafWithoutRoom) {
  const auto* leaf = tracker_.Choose(
      leaves_, {kClass, Milliseconds(100)},
      [](const Upstream&) { return true; },
      [this](const Upstream& candidate) {
        return &candidate == &near_ ? upstream::Readiness::kFull
                                    : upstream::Readiness::kOpen;
      });
  EXPECT_EQ(leaf, &far_);
}

TEST_F(LeafTrackerTest, CountsTheTimeOfANewConnection) {
  Upstream other = far_;
  other.name = "other";
  for (int request = 0; request < 100; ++request) {
    Serve(far_, 24);
    Serve(other, 24);
  }
  leaves_ = {&far_, &other};
  for (int request = 0; request < 20; ++request) {
    const auto* leaf = tracker_.Choose(
        leaves_, {kClass, Milliseconds(100)},
        [](const Upstream&) { return true; },
        [&other](const Upstream& candidate) {
          return &candidate == &other ? upstream::Readiness::kOpen
                                      : upstream::Readiness::kMustConnect;
        });
    EXPECT_EQ(leaf, &other);
  }
}

TEST_F(LeafTrackerTest, AvoidsALeafThatRefusesEveryOtherRequest) {
  Learn();
  int near = 0;
  for (int request = 0; request < 200; ++request) {
    const auto* leaf = Choose();
    near += leaf == &near_ ? 1 : 0;
    const bool is_shed = leaf == &near_ && request % 2 == 0;
    Serve(*leaf, is_shed ? 1 : 10,
          is_shed ? LeafOutcome::kShed : LeafOutcome::kAnswered);
    time_->Advance(Milliseconds(50));
  }
  EXPECT_LT(near, 60);
  EXPECT_GT(near, 0);
}

TEST_F(LeafTrackerTest, SecondSendWaitsLongerForAFarLeaf) {
  Learn();
  const auto near_delay = tracker_.SecondSendDelay(near_, kClass, {});
  const auto far_delay = tracker_.SecondSendDelay(far_, kClass, {});
  EXPECT_GT(near_delay, base::Milliseconds(10));
  EXPECT_LT(near_delay, base::Milliseconds(40));
  EXPECT_GT(far_delay, near_delay + base::Milliseconds(10));
}

// The near leaf loses every other answer. A reply from the far one takes 40 ms
// longer but is still in time.
TEST_F(LeafTrackerTest, PrefersAHealthyFarLeafToOneThatLosesAnswers) {
  for (int request = 0; request < 100; ++request) {
    Serve(near_, 8);
    Serve(far_, 48);
  }
  for (int request = 0; request < 8; ++request) {
    const bool is_lost = request % 2 == 0;
    Serve(near_, 8, is_lost ? LeafOutcome::kLost : LeafOutcome::kAnswered);
    time_->Advance(Milliseconds(50));
  }
  EXPECT_EQ(ChooseFor({kClass, Milliseconds(200)}), &far_);
  // If a reply from the far leaf would be too late, the near one is better.
  EXPECT_EQ(ChooseFor({kClass, Milliseconds(60)}), &near_);
}

// One answer was lost a while ago: a repeatable request still goes to the near
// leaf, but one that must not be repeated avoids it.
TEST_F(LeafTrackerTest, UnrepeatableRequestsWeighFailuresMore) {
  Learn();
  Serve(near_, 8, LeafOutcome::kLost);
  time_->Advance(Milliseconds(3'000));
  const LeafRequirements repeatable{kClass, Milliseconds(100), true};
  const LeafRequirements final{kClass, Milliseconds(100), false};
  EXPECT_EQ(ChooseFor(repeatable), &near_);
  EXPECT_EQ(ChooseFor(final), &far_);
}

TEST_F(LeafTrackerTest, OptionalRequestsAreNotSentToALateLeaf) {
  Learn();
  const LeafRequirements needed{kClass, Milliseconds(100)};
  LeafRequirements optional = needed;
  optional.is_optional = true;
  EXPECT_EQ(ChooseFor(optional, {"far"}), &near_);
  for (int request = 0; request < 30; ++request) {
    const base::MonotonicTime sent = clock_.Now();
    tracker_.DidSend(near_, sent);
    time_->Advance(Milliseconds(150));
    ForwardReply reply;
    reply.outcome = LeafOutcome::kAnswered;
    reply.service_time = Milliseconds(150);
    tracker_.DidReply(near_, kClass, sent, !kInTime, reply);
  }
  EXPECT_EQ(ChooseFor(optional, {"far"}), nullptr);
  EXPECT_EQ(ChooseFor(optional), &far_);
  EXPECT_EQ(ChooseFor(needed, {"far"}), &near_);
}

TEST_F(LeafTrackerTest, AwaitsOneUnneededReplyPerLeaf) {
  const base::MonotonicTime first = clock_.Now();
  tracker_.DidSend(near_, first);
  time_->Advance(Milliseconds(1));
  const base::MonotonicTime second = clock_.Now();
  tracker_.DidSend(near_, second);
  EXPECT_TRUE(tracker_.AwaitLateReply(near_, first));
  EXPECT_FALSE(tracker_.AwaitLateReply(near_, second));
  EXPECT_TRUE(tracker_.AwaitLateReply(far_, second));
  ForwardReply reply;
  reply.outcome = LeafOutcome::kAnswered;
  tracker_.DidReply(near_, kClass, first, kInTime, reply);
  EXPECT_TRUE(tracker_.AwaitLateReply(near_, second));
}

// A daemon without replies of its own relies on the reports of other daemons.
class ReceivedReportsTest : public LeafTrackerTest {
 protected:
  void Hear(const Upstream& leaf, int replies, int failures, int work_ms) {
    tracker_.DidHear(
        {leaf.name, kClass, replies, failures, Milliseconds(work_ms)});
  }

  const Upstream* ChooseForUnrepeatable() {
    return ChooseFor({kClass, Milliseconds(300), false});
  }
};

TEST_F(ReceivedReportsTest, OneReportedFailureDivertsUnrepeatableRequests) {
  EXPECT_EQ(ChooseForUnrepeatable(), &near_);
  Hear(near_, 1, 1, 0);
  EXPECT_EQ(ChooseForUnrepeatable(), &far_);
  time_->Advance(Milliseconds(15'000));
  EXPECT_EQ(ChooseForUnrepeatable(), &near_);
}

TEST_F(ReceivedReportsTest, OneReportedSlowReplyDivertsRequests) {
  Hear(far_, 10, 0, 60);
  Hear(near_, 10, 0, 60);
  EXPECT_EQ(Choose(), &near_);
  Hear(near_, 1, 0, 480);
  EXPECT_EQ(Choose(), &far_);
}

TEST_F(ReceivedReportsTest, ReportedGoodRepliesRestoreALeaf) {
  Hear(near_, 1, 1, 0);
  EXPECT_EQ(ChooseForUnrepeatable(), &far_);
  Hear(near_, 15, 0, 10);
  EXPECT_EQ(ChooseForUnrepeatable(), &near_);
}

// A leaf is chosen however bad the reports are.
TEST_F(ReceivedReportsTest, NoReportLeavesACollectionWithoutALeaf) {
  for (int report = 0; report < 100; ++report) {
    Hear(near_, 20, 20, 0);
    Hear(far_, 20, 10, 600'000);
  }
  EXPECT_NE(Choose(), nullptr);
}

TEST_F(ReceivedReportsTest, OwnRepliesWeighMore) {
  Serve(near_, 1, LeafOutcome::kLost);
  Hear(far_, 1, 1, 0);
  time_->Advance(Milliseconds(1'000));
  EXPECT_EQ(ChooseForUnrepeatable(), &far_);
}

TEST_F(ReceivedReportsTest, ReportsLeavesThatItRarelySendsTo) {
  Serve(near_, 8);
  Serve(near_, 1, LeafOutcome::kLost);
  const auto reports = tracker_.TakeReports();
  ASSERT_EQ(reports.size(), 1U);
  EXPECT_EQ(reports[0], (LeafReport{"near", kClass, 2, 1, Milliseconds(8)}));
  EXPECT_TRUE(tracker_.TakeReports().empty());
}

TEST_F(ReceivedReportsTest, DoesNotReportLeavesThatItOftenSendsTo) {
  Learn();
  (void)tracker_.TakeReports();
  Serve(near_, 8);
  EXPECT_TRUE(tracker_.TakeReports().empty());
  // After a while without requests, replies are rare again and are reported.
  time_->Advance(Milliseconds(20'000));
  Serve(near_, 8);
  EXPECT_EQ(tracker_.TakeReports().size(), 1U);
}

TEST_F(ReceivedReportsTest, ReportsAnOverdueRequestBeforeItsReply) {
  tracker_.DidSend(near_, clock_.Now());
  tracker_.DidStall(near_, kClass, Milliseconds(150));
  const auto reports = tracker_.TakeReports();
  ASSERT_EQ(reports.size(), 1U);
  EXPECT_EQ(reports[0].work, Milliseconds(150));
}

TEST_F(LeafTrackerTest, AReplacedLeafGetsNoRequests) {
  Serve(near_, 1, LeafOutcome::kReplaced);
  EXPECT_EQ(Choose(), &far_);
  // This holds even if there is no other leaf.
  EXPECT_EQ(Choose({"far"}), nullptr);
  time_->Advance(Milliseconds(20'000));
  EXPECT_EQ(Choose({"far"}), nullptr);
  EXPECT_TRUE(tracker_.is_replaced(near_));
}

// The leaf may have been marked as replaced by mistake, so one probe is sent
// every 30 s.
TEST_F(LeafTrackerTest, AReplacedLeafIsProbedByOneRequest) {
  Serve(near_, 1, LeafOutcome::kReplaced);
  time_->Advance(Milliseconds(30'000));
  EXPECT_EQ(Choose({"far"}), &near_);
  tracker_.DidSend(near_, clock_.Now());
  EXPECT_EQ(Choose({"far"}), nullptr);
  time_->Advance(Milliseconds(30'000));
  Serve(near_, 1);
  EXPECT_FALSE(tracker_.is_replaced(near_));
  EXPECT_EQ(Choose({"far"}), &near_);
}

TEST_F(LeafTrackerTest, AnotherStartOfALeafIsNotReplaced) {
  Serve(near_, 1, LeafOutcome::kReplaced);
  near_.name = "near, its next start";
  EXPECT_EQ(Choose({"far"}), &near_);
}

}  // namespace
}  // namespace medlarspread::routing
