// Tests UpstreamController with a lagging list, wrong health, and leaves that
// drain, flap, start cold or are unreachable. Uses a manual clock.

#include "src/upstream/upstream_controller.h"

#include <gtest/gtest.h>

namespace medlarspread::upstream {
namespace {

using base::ErrorCode;
using base::Milliseconds;
using blackboard::Holding;
using blackboard::Upstream;
using blackboard::UpstreamState;

constexpr char kLeaf[] = "l1";
constexpr Holding kOld{{7, 3}, {0, 100}};
constexpr Holding kNew{{8, 3}, {0, 100}};

store::Vm MakeVm(const std::string& name, bool is_leaving = false) {
  return {.name = name,
          .role = store::VmRole::kUpstream,
          .address = "10.0.0.1:80",
          .region = "south",
          .failure_domain = "a",
          .is_leaving = is_leaving,
          .collection = "proofs"};
}

LeafReply MakeReply(LeafOutcome outcome,
                    std::optional<UpstreamState> state = std::nullopt) {
  LeafReply reply;
  reply.outcome = outcome;
  reply.state = state;
  reply.error.step = base::Step::kReadUpstream;
  return reply;
}

class UpstreamControllerTest : public testing::Test {
 protected:
  UpstreamControllerTest() {
    health_.state = UpstreamState::kServing;
    health_.slots = 2;
    health_.connections = 25;
    health_.holdings = {kOld};
  }

  void Start() {
    controller_.Start();
    scheduler_->Advance(Milliseconds(500));
  }
  void Advance(std::int64_t milliseconds) {
    scheduler_->Advance(Milliseconds(milliseconds));
  }
  void Observe(LeafOutcome outcome,
               std::optional<UpstreamState> state = std::nullopt) {
    controller_.Observe(kLeaf, MakeReply(outcome, state));
    scheduler_->RunReady();
  }
  void ObserveDraining() {
    Observe(LeafOutcome::kDraining, UpstreamState::kDraining);
  }
  Upstream Leaf() { return board_.upstreams.Read()->upstreams.at(kLeaf); }
  bool IsKnown() { return board_.upstreams.Read()->upstreams.contains(kLeaf); }

  std::shared_ptr<base::ManualTime> time_ =
      std::make_shared<base::ManualTime>(1'000'000, 0);
  std::shared_ptr<base::ManualScheduler> scheduler_ =
      std::make_shared<base::ManualScheduler>(time_);
  base::Random random_{11};
  blackboard::Blackboard board_;
  UpstreamSettings settings_;

  // Replies of the fakes.
  std::vector<store::Vm> vms_ = {MakeVm(kLeaf)};
  bool is_list_up_ = true;
  LeafHealth health_;
  std::optional<ErrorCode> health_error_;
  bool should_poll_ = true;
  std::vector<std::string> found_draining_;

  UpstreamController controller_{
      settings_,
      base::Clock(time_),
      random_,
      base::TaskRunner(scheduler_),
      [this](base::Duration, const store::VmListCallback& callback) {
        if (is_list_up_) {
          callback(vms_);
          return;
        }
        callback(base::MakeError(ErrorCode::kUnavailable,
                                 base::Step::kReadStore, "platform", ""));
      },
      [this](const Upstream& upstream,
             base::Duration,
             const HealthCallback& callback) {
        if (health_error_) {
          callback(base::MakeError(*health_error_, base::Step::kReadUpstream,
                                   upstream.address, ""));
          return;
        }
        callback(health_);
      },
      board_,
      {.should_poll = [this](const Upstream&) { return should_poll_; },
       .did_find_draining =
           [this](const std::string& name) {
             found_draining_.push_back(name);
           }}};
};

TEST_F(UpstreamControllerTest, PublishesListAndHealth) {
  Start();
  const Upstream leaf = Leaf();
  EXPECT_EQ(leaf.state, UpstreamState::kServing);
  EXPECT_EQ(leaf.collection, "proofs");
  EXPECT_EQ(leaf.slots, 2);
  EXPECT_EQ(leaf.connections, 25);
  EXPECT_EQ(leaf.holdings, std::vector<Holding>{kOld});
}

TEST_F(UpstreamControllerTest, PollsHealthOnlyWithARole) {
  should_poll_ = false;
  Start();
  Advance(20'000);
  EXPECT_EQ(controller_.counters().health_reads, 0);
  should_poll_ = true;
  controller_.DidChangeRoles();
  Advance(1'500);
  EXPECT_GE(controller_.counters().health_reads, 1);
  EXPECT_EQ(Leaf().holdings, std::vector<Holding>{kOld});
}

TEST_F(UpstreamControllerTest, RepliesSpareHealthReads) {
  Start();
  const auto reads_in = [this](bool has_replies) {
    const auto before = controller_.counters().health_reads;
    for (int i = 0; i < 400; ++i) {
      if (has_replies) {
        Observe(LeafOutcome::kAnswered, UpstreamState::kServing);
      }
      Advance(100);
    }
    return controller_.counters().health_reads - before;
  };
  EXPECT_GE(reads_in(false), 32);
  EXPECT_LE(reads_in(true), 22);
}

TEST_F(UpstreamControllerTest,
       UnchangedObservationsAreNeitherPostedNorPublished) {
  Start();
  Advance(10'000);
  const auto before = controller_.counters();
  for (int i = 0; i < 1'000; ++i) {
    Observe(LeafOutcome::kAnswered, UpstreamState::kServing);
    Advance(1);
  }
  EXPECT_LE(controller_.counters().observations - before.observations, 3);
  EXPECT_EQ(controller_.counters().publications, before.publications);
}

TEST_F(UpstreamControllerTest, DrainingReplyStopsRequestsAtOnceAndIsAnnounced) {
  Start();
  ObserveDraining();
  Advance(settings_.urgent_publish_interval.count() / 1'000);
  EXPECT_EQ(Leaf().state, UpstreamState::kDraining);
  EXPECT_EQ(found_draining_, std::vector<std::string>{kLeaf});
}

TEST_F(UpstreamControllerTest, EverySourceOfDrainingCounts) {
  Start();
  controller_.DidHearDraining(kLeaf, Milliseconds(700));
  Advance(settings_.urgent_publish_interval.count() / 1'000);
  EXPECT_EQ(Leaf().state, UpstreamState::kDraining);
  // Reports from peers are not announced again, or they would circulate
  // forever.
  EXPECT_TRUE(found_draining_.empty());
}

TEST_F(UpstreamControllerTest, DrainingInHealthCounts) {
  Start();
  health_.state = UpstreamState::kDraining;
  Advance(1'300);
  EXPECT_EQ(Leaf().state, UpstreamState::kDraining);
  EXPECT_EQ(found_draining_.size(), 1u);
}

TEST_F(UpstreamControllerTest, LeavingInListCountsAndSticksWhileListed) {
  Start();
  vms_ = {MakeVm(kLeaf, true)};
  Advance(6'300);
  EXPECT_EQ(Leaf().state, UpstreamState::kDraining);
  EXPECT_EQ(found_draining_.size(), 1u);
  // While the list says leaving, health that says serving does not bring the
  // leaf back.
  is_list_up_ = false;
  Advance(120'000);
  EXPECT_EQ(Leaf().state, UpstreamState::kDraining);
  is_list_up_ = true;
  vms_ = {MakeVm(kLeaf)};
  Advance(40'000);
  EXPECT_EQ(Leaf().state, UpstreamState::kServing);
}

TEST_F(UpstreamControllerTest, DrainingOutlastsLaggingHealth) {
  Start();
  ObserveDraining();
  // Health still says that the leaf is serving.
  Advance(settings_.draining_hold.count() / 1'000 - 100);
  EXPECT_EQ(Leaf().state, UpstreamState::kDraining);
  Advance(2'000);
  EXPECT_EQ(Leaf().state, UpstreamState::kServing);
  // A report from before the return to service is outdated.
  controller_.DidHearDraining(kLeaf, Milliseconds(8'000));
  Advance(100);
  EXPECT_EQ(Leaf().state, UpstreamState::kServing);
}

// A draining leaf whose health always says serving gets one request after each
// hold. The hold doubles: after 10, 30, 70 and 150 s.
TEST_F(UpstreamControllerTest, WrongHealthLetsFewRequestsThrough) {
  Start();
  int requests = 0;
  for (int step = 0; step < 300 * 10; ++step) {
    if (Leaf().state == UpstreamState::kServing) {
      ++requests;
      ObserveDraining();
    }
    Advance(settings_.urgent_publish_interval.count() / 1'000);
  }
  EXPECT_EQ(requests, 5);
  // Each drain is announced to the peers at once.
  EXPECT_EQ(found_draining_.size(), 5u);
}

TEST_F(UpstreamControllerTest, ReplyOverrulesOlderHealthButNotForEver) {
  Start();
  Observe(LeafOutcome::kCold, UpstreamState::kCold);
  Advance(300);
  const Upstream cold = Leaf();
  EXPECT_EQ(cold.state, UpstreamState::kCold);
  EXPECT_GT(cold.cold_since.microseconds, 0);
  Observe(LeafOutcome::kAnswered, UpstreamState::kServing);
  health_.state = UpstreamState::kCold;
  Advance(600);
  EXPECT_EQ(Leaf().state, UpstreamState::kServing);
  // The longest health interval, the hold and the publication.
  Advance(4'500);
  EXPECT_EQ(Leaf().state, UpstreamState::kCold);
}

TEST_F(UpstreamControllerTest, RepliesGoBeforeDrainingInHealth) {
  Start();
  health_.state = UpstreamState::kDraining;
  for (int i = 0; i < 20; ++i) {
    Observe(LeafOutcome::kAnswered, UpstreamState::kServing);
    Advance(300);
    EXPECT_EQ(Leaf().state, UpstreamState::kServing);
  }
  // Without replies only health counts: the longest interval, the hold and one
  // more interval.
  Advance(5'700);
  EXPECT_EQ(Leaf().state, UpstreamState::kDraining);
}

TEST_F(UpstreamControllerTest, ColdLeafWarmsByHealthAfterAWhile) {
  health_.state = UpstreamState::kCold;
  Start();
  EXPECT_EQ(Leaf().state, UpstreamState::kCold);
  const auto since = Leaf().cold_since;
  Advance(5'000);
  EXPECT_EQ(Leaf().cold_since, since);
  health_.state = UpstreamState::kServing;
  Advance(2'000);
  EXPECT_EQ(Leaf().state, UpstreamState::kServing);
}

TEST_F(UpstreamControllerTest, UnreachableAfterRefusalsAndBackThroughHealth) {
  Start();
  health_error_ = ErrorCode::kUnreachable;
  Observe(LeafOutcome::kUnreachable);
  Observe(LeafOutcome::kUnreachable);
  Advance(300);
  EXPECT_EQ(Leaf().state, UpstreamState::kServing);
  Observe(LeafOutcome::kUnreachable);
  Advance(300);
  EXPECT_EQ(Leaf().state, UpstreamState::kUnreachable);
  health_error_.reset();
  // It comes back as cold and gets requests gradually.
  while (Leaf().state == UpstreamState::kUnreachable) {
    Advance(50);
  }
  EXPECT_EQ(Leaf().state, UpstreamState::kCold);
}

TEST_F(UpstreamControllerTest, SilenceOverTimeMakesUnreachable) {
  Start();
  for (int i = 0; i < 10; ++i) {
    Observe(LeafOutcome::kTimeout);
  }
  Advance(500);
  EXPECT_EQ(Leaf().state, UpstreamState::kServing);
  // One answer ends the series of failures.
  Observe(LeafOutcome::kAnswered, UpstreamState::kServing);
  Advance(2'000);
  Observe(LeafOutcome::kTimeout);
  Advance(500);
  EXPECT_EQ(Leaf().state, UpstreamState::kServing);
  // Health is good all the time and brings the leaf back later.
  bool was_unreachable = false;
  for (int i = 0; i < 10; ++i) {
    Observe(LeafOutcome::kTimeout);
    Advance(300);
    was_unreachable |= Leaf().state == UpstreamState::kUnreachable;
  }
  EXPECT_TRUE(was_unreachable);
}

// Requests hang while health is good: each return without an answer increases
// the time until the next one.
TEST_F(UpstreamControllerTest,
       AHangingLeafWithGoodHealthReturnsLessAndLessOften) {
  Start();
  int returns = 0;
  bool was_unreachable = false;
  for (int step = 0; step < 1'200; ++step) {
    const bool is_unreachable = Leaf().state == UpstreamState::kUnreachable;
    returns += was_unreachable && !is_unreachable ? 1 : 0;
    was_unreachable = is_unreachable;
    if (!is_unreachable) {
      Observe(LeafOutcome::kTimeout);
    }
    Advance(100);
  }
  EXPECT_GE(returns, 2);
  EXPECT_LE(returns, 7);
}

TEST_F(UpstreamControllerTest, HoldingsOfAReplyOutlastLaggingHealth) {
  Start();
  LeafReply reply =
      MakeReply(LeafOutcome::kWrongSnapshot, UpstreamState::kServing);
  reply.holdings = {kNew};
  controller_.Observe(kLeaf, reply);
  Advance(5'000);
  EXPECT_EQ(Leaf().holdings, std::vector<Holding>{kNew});
  // A newer snapshot is accepted from health.
  const Holding newest{{9, 3}, {0, 100}};
  health_.holdings = {newest};
  Advance(1'600);
  EXPECT_EQ(Leaf().holdings, std::vector<Holding>{newest});
  // After the hold, health is accepted again.
  health_.holdings = {kOld};
  Advance(12'000);
  EXPECT_EQ(Leaf().holdings, std::vector<Holding>{kOld});
}

TEST_F(UpstreamControllerTest, VanishedLeafIsKeptWhileItLivesButNotForEver) {
  Start();
  vms_ = {MakeVm("other")};
  Advance(120'000);
  EXPECT_TRUE(IsKnown());
  Advance(600'000);
  EXPECT_FALSE(IsKnown());
}

TEST_F(UpstreamControllerTest, VanishedLeafWithoutActivityIsForgotten) {
  Start();
  vms_ = {MakeVm("other")};
  health_error_ = ErrorCode::kTimeout;
  Advance(20'000);
  EXPECT_TRUE(IsKnown());
  Advance(30'000);
  EXPECT_FALSE(IsKnown());
}

TEST_F(UpstreamControllerTest, ListOutageForgetsNothing) {
  Start();
  is_list_up_ = false;
  Advance(1'200'000);
  EXPECT_EQ(Leaf().state, UpstreamState::kServing);
  EXPECT_GT(controller_.counters().list_failures, 0);
}

TEST_F(UpstreamControllerTest, AnotherVmOfTheNameStartsAfresh) {
  Start();
  ObserveDraining();
  vms_[0].address = "10.0.0.2:80";
  Advance(7'000);
  EXPECT_EQ(Leaf().address, "10.0.0.2:80");
  EXPECT_EQ(Leaf().state, UpstreamState::kServing);
  // Reports about the previous VM are still circulating.
  controller_.DidHearDraining(kLeaf, Milliseconds(7'000));
  Advance(300);
  EXPECT_EQ(Leaf().state, UpstreamState::kServing);
}

TEST_F(UpstreamControllerTest, AnotherLeafAtTheAddressIsNotBelieved) {
  Start();
  health_.name = "l2";
  health_.holdings = {kNew};
  Advance(6'000);
  EXPECT_EQ(Leaf().holdings, std::vector<Holding>{kOld});
  EXPECT_EQ(Leaf().state, UpstreamState::kUnreachable);
}

TEST_F(UpstreamControllerTest, BadStateOfAnUnreadLeafExpires) {
  Start();
  should_poll_ = false;
  Advance(2'000);
  controller_.DidHearDraining(kLeaf, Milliseconds(0));
  Advance(50'000);
  EXPECT_EQ(Leaf().state, UpstreamState::kDraining);
  Advance(20'000);
  EXPECT_EQ(Leaf().state, UpstreamState::kServing);
}

TEST_F(UpstreamControllerTest, StopEndsReading) {
  Start();
  controller_.Stop();
  Advance(1'000);
  const auto before = controller_.counters();
  Advance(60'000);
  EXPECT_EQ(controller_.counters().list_reads, before.list_reads);
  EXPECT_EQ(controller_.counters().health_reads, before.health_reads);
}

}  // namespace
}  // namespace medlarspread::upstream
