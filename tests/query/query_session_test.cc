// Tests QuerySession with fake leaves, peers and claims: the guarantees on
// answers, coverage, refusals and at-most-once requests.

#include "src/query/query_session.h"

#include <gtest/gtest.h>

#include "src/query/query_service.h"
#include "src/routing/wire_conversion.h"
#include "tests/support/routing_world.h"

namespace medlarspread::query {
namespace {

using base::ErrorCode;
using base::Milliseconds;
using base::Step;
using blackboard::Snapshot;
using testing_support::kLowerHalf;
using testing_support::kSnapshot;
using testing_support::kUpperHalf;
using testing_support::RoutingWorld;
using upstream::LeafOutcome;

constexpr Snapshot kNewer{8, 1};

class QuerySessionTest : public testing::Test {
 protected:
  QuerySessionTest() {
    peer::PeerPort peers;
    peers.send = [this](const std::string& peer, peer::Message message) {
      to_peers_.emplace_back(peer, std::move(message));
      return base::Status(base::Done{});
    };
    auto loads = std::make_shared<routing::LoadTable>(world_.clock);
    client_ = std::make_shared<routing::SubQueryClient>(
        1000, world_.clock, world_.blackboard, peers,
        world_.MakeDispatcherSet(), loads);
    auto router = std::make_shared<routing::Router>(
        routing::QueueOwnerPolicy{}, world_.blackboard, loads,
        [this](const std::string& name) { return client_->is_silent(name); });
    claims::ClaimPort claim =
        [this](const std::string&, const std::string&, base::Duration,
               std::function<void(claims::ClaimResult)> done) {
          claims_.push_back(std::move(done));
        };
    service_ = std::make_unique<QueryService>(
        std::make_shared<const SessionDependencies>(SessionDependencies{
            world_.clock, world_.runner, world_.random, world_.blackboard,
            router, client_, std::make_shared<admission::EntryGate>(),
            std::make_shared<SharedRetryBudget>(), claim,
            [this](const burn::RequestRecord& record) {
              records_.push_back(record);
            }}),
        100);
    blackboard::TargetsView targets;
    targets.revision = 4;
    targets.classes["counter"] = {"counter", "archive", Milliseconds(100),
                                  99.0,      1.0,       99.0};
    targets.classes["audit"] = {"audit", "archive", Milliseconds(100),
                                99.0,    0.5,       99.0};
    world_.blackboard.targets.Write(targets);
    world_.blackboard.lifecycle.Write({blackboard::LifecycleState::kReady, ""});
    world_.AddLeaf("low", "north", {{kSnapshot, kLowerHalf}});
    world_.AddLeaf("high", "north", {{kSnapshot, kUpperHalf}});
  }

  std::shared_ptr<std::optional<CallerAnswer>> Submit(
      const std::string& class_name = "counter",
      bool is_idempotent = true) {
    auto slot = std::make_shared<std::optional<CallerAnswer>>();
    service_->Submit({"1700000000000-abcdefgh", class_name, Milliseconds(500),
                      is_idempotent, "{}"},
                     [slot](CallerAnswer answer) {
                       EXPECT_FALSE(slot->has_value()) << "answered twice";
                       *slot = std::move(answer);
                     });
    world_.scheduler->RunReady();
    return slot;
  }

  void SettleClaim(claims::ClaimOutcome outcome) {
    claims::ClaimResult result;
    result.outcome = outcome;
    if (outcome != claims::ClaimOutcome::kGranted) {
      result.error =
          base::MakeError(ErrorCode::kConflict, Step::kClaim, "", "test");
    }
    claims_.back()(result);
    world_.scheduler->RunReady();
  }

  // Makes vm-b in the south the only daemon that can reach any leaf.
  void MoveLeavesToVmB() {
    world_.AddDaemon("vm-b", "south");
    world_.AddLeaf("low", "south", {{kSnapshot, kLowerHalf}});
    world_.AddLeaf("high", "south", {{kSnapshot, kUpperHalf}});
  }

  template <typename T>
  static const T& As(const std::shared_ptr<std::optional<CallerAnswer>>& slot) {
    return std::get<T>(slot->value());
  }

  RoutingWorld world_;
  std::vector<std::pair<std::string, peer::Message>> to_peers_;
  std::vector<std::function<void(claims::ClaimResult)>> claims_;
  std::vector<burn::RequestRecord> records_;
  std::shared_ptr<routing::SubQueryClient> client_;
  std::unique_ptr<QueryService> service_;
};

TEST_F(QuerySessionTest, AnswersWholeAtOnce) {
  const auto answer = Submit();
  ASSERT_EQ(world_.sends.size(), 2U);
  world_.Answer(0, "[1]");
  EXPECT_FALSE(answer->has_value());
  world_.Answer(1, "[2]");
  ASSERT_TRUE(answer->has_value());
  EXPECT_EQ(As<Answered>(answer).snapshot, kSnapshot);
  EXPECT_FALSE(As<Answered>(answer).coverage.is_partial);
  EXPECT_EQ(As<Answered>(answer).items, "[1,2]");
  EXPECT_EQ(service_->in_flight(), 0);
  ASSERT_EQ(records_.size(), 1U);
  EXPECT_EQ(records_[0].targets_revision, 4);
  EXPECT_EQ(records_[0].upstream_sends, 2);
}

TEST_F(QuerySessionTest, RecordsTheTargetsThatItIsJudgedBy) {
  auto view = *world_.blackboard.targets.Read();
  view.classes["counter"].percentile = 99.5;
  view.classes["counter"].coverage = 0.75;
  view.classes["counter"].coverage_percentile = 95.0;
  world_.blackboard.targets.Write(view);
  const auto answer = Submit();
  world_.Answer(0, "[1]");
  world_.Answer(1, "[2]");
  ASSERT_TRUE(answer->has_value());
  ASSERT_EQ(records_.size(), 1U);
  EXPECT_EQ(records_[0].latency_target, Milliseconds(100));
  EXPECT_EQ(records_[0].latency_percentile, 99.5);
  EXPECT_EQ(records_[0].coverage_target, 0.75);
  EXPECT_EQ(records_[0].coverage_percentile, 95.0);
}

TEST_F(QuerySessionTest, AnswersAtTheTargetOnceCoverageIsMet) {
  const auto audit = Submit("audit");
  const auto counter = Submit("counter");
  world_.Answer(0);
  world_.Answer(2);
  world_.scheduler->Advance(Milliseconds(101));
  ASSERT_TRUE(audit->has_value());
  EXPECT_TRUE(As<Answered>(audit).coverage.is_partial);
  EXPECT_EQ(As<Answered>(audit).coverage.share, 0.5);
  // The other class requires full coverage, so it waits for its deadline.
  EXPECT_FALSE(counter->has_value());
  world_.scheduler->Advance(Milliseconds(400));
  ASSERT_TRUE(counter->has_value());
  EXPECT_TRUE(As<Answered>(counter).coverage.is_partial);
  EXPECT_EQ(As<Answered>(counter).coverage.missing,
            std::vector<blackboard::KeyRange>{kUpperHalf});
}

TEST_F(QuerySessionTest, NeverMixesSnapshots) {
  const auto answer = Submit();
  world_.Answer(0, "[\"old\"]");
  // The leaf of the upper half switches to a newer version and no longer has
  // the chosen one.
  world_.AddLeaf("low", "north",
                 {{kSnapshot, kLowerHalf}, {kNewer, kLowerHalf}});
  world_.AddLeaf("high", "north", {{kNewer, kUpperHalf}});
  world_.Fail(1, LeafOutcome::kWrongSnapshot);
  ASSERT_EQ(world_.sends.size(), 4U);
  world_.Answer(2, "[\"new-low\"]");
  world_.Answer(3, "[\"new-high\"]");
  ASSERT_TRUE(answer->has_value());
  EXPECT_EQ(As<Answered>(answer).snapshot, kNewer);
  EXPECT_EQ(As<Answered>(answer).items, "[\"new-low\",\"new-high\"]");
}

TEST_F(QuerySessionTest, GoesBackWhenOwnersDoNotKnowTheNewSnapshotYet) {
  // This daemon knows both versions, but the leaves refuse the newer one.
  world_.AddLeaf("low", "north",
                 {{kSnapshot, kLowerHalf}, {kNewer, kLowerHalf}});
  world_.AddLeaf("high", "north",
                 {{kSnapshot, kUpperHalf}, {kNewer, kUpperHalf}});
  const auto answer = Submit();
  ASSERT_EQ(world_.sends.size(), 2U);
  EXPECT_EQ(world_.sends[0].request.snapshot, kNewer);
  world_.Answer(0, "[\"new-low\"]");
  world_.Fail(1, LeafOutcome::kWrongSnapshot);
  ASSERT_EQ(world_.sends.size(), 4U);
  world_.Answer(2, "[\"old-low\"]");
  world_.Answer(3, "[\"old-high\"]");
  ASSERT_TRUE(answer->has_value());
  EXPECT_EQ(As<Answered>(answer).snapshot, kSnapshot);
  EXPECT_EQ(As<Answered>(answer).items, "[\"old-low\",\"old-high\"]");
}

TEST_F(QuerySessionTest, WhatRanInAnotherSnapshotIsNotRefused) {
  world_.AddLeaf("low", "north",
                 {{kSnapshot, kLowerHalf}, {kNewer, kLowerHalf}});
  world_.AddLeaf("high", "north",
                 {{kSnapshot, kUpperHalf}, {kNewer, kUpperHalf}});
  const auto answer = Submit();
  world_.Answer(0, "[\"new-low\"]");
  world_.Fail(1, LeafOutcome::kWrongSnapshot);
  ASSERT_EQ(world_.sends.size(), 4U);
  world_.Fail(2, LeafOutcome::kDraining);
  world_.Fail(3, LeafOutcome::kDraining);
  ASSERT_TRUE(answer->has_value());
  EXPECT_TRUE(std::holds_alternative<Unknown>(answer->value()));
}

TEST_F(QuerySessionTest, RefusedInTwoSnapshotsIsRefused) {
  world_.AddLeaf("low", "north",
                 {{kSnapshot, kLowerHalf}, {kNewer, kLowerHalf}});
  world_.AddLeaf("high", "north",
                 {{kSnapshot, kUpperHalf}, {kNewer, kUpperHalf}});
  const auto answer = Submit();
  world_.Fail(0, LeafOutcome::kDraining);
  world_.Fail(1, LeafOutcome::kWrongSnapshot);
  ASSERT_EQ(world_.sends.size(), 4U);
  world_.Fail(2, LeafOutcome::kDraining);
  world_.Fail(3, LeafOutcome::kDraining);
  ASSERT_TRUE(answer->has_value());
  EXPECT_TRUE(std::holds_alternative<Refused>(answer->value()));
}

TEST_F(QuerySessionTest, AtMostOnceDoesNotStartAgainWithAnotherSnapshot) {
  const auto answer = Submit("counter", false);
  SettleClaim(claims::ClaimOutcome::kGranted);
  world_.Answer(0, "[\"old\"]");
  world_.AddLeaf("low", "north",
                 {{kSnapshot, kLowerHalf}, {kNewer, kLowerHalf}});
  world_.AddLeaf("high", "north", {{kNewer, kUpperHalf}});
  world_.Fail(1, LeafOutcome::kWrongSnapshot);
  EXPECT_EQ(world_.sends.size(), 2U);
  ASSERT_TRUE(answer->has_value());
  EXPECT_EQ(As<Answered>(answer).snapshot, kSnapshot);
  EXPECT_EQ(As<Answered>(answer).coverage.share, 0.5);
}

TEST_F(QuerySessionTest, NothingIsSentBeforeTheClaim) {
  const auto answer = Submit("counter", false);
  EXPECT_TRUE(world_.sends.empty());
  SettleClaim(claims::ClaimOutcome::kGranted);
  EXPECT_EQ(world_.sends.size(), 2U);
  EXPECT_TRUE(world_.sends[0].request.is_at_most_once);
  EXPECT_FALSE(answer->has_value());
}

TEST_F(QuerySessionTest, NoClaimIsMadeWhenNothingCanBeAsked) {
  world_.SetLeafState("low", blackboard::UpstreamState::kDraining);
  world_.SetLeafState("high", blackboard::UpstreamState::kUnreachable);
  const auto answer = Submit("counter", false);
  ASSERT_TRUE(answer->has_value());
  EXPECT_TRUE(std::holds_alternative<Refused>(answer->value()));
  EXPECT_TRUE(claims_.empty());
}

TEST_F(QuerySessionTest, TakenClaimIsUnknownAndOthersAreRefused) {
  auto answer = Submit("counter", false);
  SettleClaim(claims::ClaimOutcome::kTaken);
  EXPECT_TRUE(std::holds_alternative<Unknown>(answer->value()));
  for (const auto outcome :
       {claims::ClaimOutcome::kRefused, claims::ClaimOutcome::kUnsettled,
        claims::ClaimOutcome::kExpired}) {
    answer = Submit("counter", false);
    SettleClaim(outcome);
    EXPECT_TRUE(std::holds_alternative<Refused>(answer->value()));
    EXPECT_GT(As<Refused>(answer).retry_after, base::Duration::zero());
  }
  EXPECT_TRUE(world_.sends.empty());
}

TEST_F(QuerySessionTest, GrantAfterTheDeadlineSendsNothing) {
  const auto answer = Submit("counter", false);
  world_.scheduler->Advance(Milliseconds(501));
  ASSERT_TRUE(answer->has_value());
  EXPECT_TRUE(std::holds_alternative<Refused>(answer->value()));
  SettleClaim(claims::ClaimOutcome::kGranted);
  EXPECT_TRUE(world_.sends.empty());
}

TEST_F(QuerySessionTest, NoReplyByTheDeadlineIsUnknown) {
  const auto answer = Submit();
  world_.scheduler->Advance(Milliseconds(501));
  ASSERT_TRUE(answer->has_value());
  EXPECT_TRUE(std::holds_alternative<Unknown>(answer->value()));
}

TEST_F(QuerySessionTest, RefusedByAllIsRefusedWithTime) {
  const auto answer = Submit();
  world_.Fail(0, LeafOutcome::kDraining);
  world_.Fail(1, LeafOutcome::kUnreachable);
  ASSERT_TRUE(answer->has_value());
  ASSERT_TRUE(std::holds_alternative<Refused>(answer->value()));
  EXPECT_GT(As<Refused>(answer).retry_after, base::Duration::zero());
}

TEST_F(QuerySessionTest, OneRefusedAndOneLostIsUnknown) {
  const auto answer = Submit("counter", false);
  SettleClaim(claims::ClaimOutcome::kGranted);
  world_.Fail(0, LeafOutcome::kDraining);
  world_.Fail(1, LeafOutcome::kLost);
  ASSERT_TRUE(answer->has_value());
  EXPECT_TRUE(std::holds_alternative<Unknown>(answer->value()));
}

TEST_F(QuerySessionTest, LostPeerIsReplacedByTheNextOwner) {
  MoveLeavesToVmB();
  world_.AddDaemon("vm-c", "south");
  const auto answer = Submit();
  ASSERT_FALSE(to_peers_.empty());
  const std::string first = to_peers_.front().first;
  const auto sent = to_peers_.size();
  client_->DidLosePeer(first);
  world_.scheduler->RunReady();
  ASSERT_GT(to_peers_.size(), sent);
  EXPECT_NE(to_peers_.back().first, first);
  EXPECT_FALSE(answer->has_value());
}

TEST_F(QuerySessionTest, LostPeerEndsAnAtMostOnceRequestAsUnknown) {
  MoveLeavesToVmB();
  const auto answer = Submit("counter", false);
  SettleClaim(claims::ClaimOutcome::kGranted);
  const auto sent = to_peers_.size();
  client_->DidLosePeer("vm-b");
  world_.scheduler->RunReady();
  EXPECT_EQ(to_peers_.size(), sent);
  ASSERT_TRUE(answer->has_value());
  EXPECT_TRUE(std::holds_alternative<Unknown>(answer->value()));
  EXPECT_EQ(As<Unknown>(answer).error.peer, "vm-b");
}

TEST_F(QuerySessionTest, SilentOwnerIsPassedOver) {
  MoveLeavesToVmB();
  world_.AddDaemon("vm-c", "south");
  Submit();
  const std::string first = to_peers_.front().first;
  const auto sent = to_peers_.size();
  world_.scheduler->Advance(Milliseconds(250));
  ASSERT_GT(to_peers_.size(), sent);
  EXPECT_NE(to_peers_.back().first, first);
}

TEST_F(QuerySessionTest, StoppingDaemonRefusesNewAndFinishesOld) {
  const auto old_answer = Submit();
  service_->StopAccepting();
  const auto new_answer = Submit();
  ASSERT_TRUE(new_answer->has_value());
  EXPECT_EQ(As<Refused>(new_answer).error.code, ErrorCode::kStopping);
  EXPECT_EQ(service_->in_flight(), 1);
  world_.Answer(0);
  world_.Answer(1);
  EXPECT_TRUE(std::holds_alternative<Answered>(old_answer->value()));
  EXPECT_EQ(service_->in_flight(), 0);
}

}  // namespace
}  // namespace medlarspread::query
