// Tests queueing, in-flight limits, second sends, retries and outcomes of the
// shard requests of one collection, with manual time and simulated leaves.

#include "src/routing/dispatcher.h"

#include <optional>

#include <gtest/gtest.h>

#include "tests/support/routing_world.h"

namespace medlarspread::routing {
namespace {

using base::Milliseconds;
using blackboard::UpstreamState;
using testing_support::kLowerHalf;
using testing_support::kSnapshot;
using testing_support::RoutingWorld;
using upstream::LeafOutcome;

// With one slot and one pipelined request, each leaf takes two requests at
// once.
constexpr int kSlots = 1;

class DispatcherTest : public testing::Test {
 protected:
  void SetUp() override {
    for (const char* name : {"leaf-1", "leaf-2"}) {
      world_.AddLeaf(name, "north", {{kSnapshot, kLowerHalf}}, kSlots);
    }
    dispatcher_ = world_.MakeDispatcher("archive");
  }

  ShardRequest MakeRequest() {
    ShardRequest request;
    request.request_id = "r" + std::to_string(++requests_);
    request.class_name = "counter";
    request.collection = "archive";
    request.snapshot = kSnapshot;
    request.range = kLowerHalf;
    request.target_due = world_.clock.Now() + Milliseconds(100);
    request.deadline = world_.clock.Now() + Milliseconds(500);
    request.query = std::make_shared<const std::string>("{}");
    return request;
  }

  // Submits a request and returns the place where its result is stored.
  std::shared_ptr<std::optional<ShardResult>> Submit(ShardRequest request) {
    auto slot = std::make_shared<std::optional<ShardResult>>();
    dispatcher_->Submit(std::move(request), [slot](ShardResult result) {
      EXPECT_FALSE(slot->has_value()) << "delivered twice";
      *slot = std::move(result);
    });
    world_.scheduler->RunReady();
    return slot;
  }

  // Produces enough replies of 5 ms for the second-send policy to have a delay.
  void RecordServiceTimes() {
    for (int i = 0; i < 200; ++i) {
      const auto result = Submit(MakeRequest());
      world_.scheduler->Advance(Milliseconds(5));
      world_.Answer(world_.sends.size() - 1);
      ASSERT_TRUE(result->has_value());
    }
    world_.sends.clear();
  }

  RoutingWorld world_;
  std::shared_ptr<Dispatcher> dispatcher_;
  int requests_ = 0;
};

TEST_F(DispatcherTest, KeepsOneMoreInFlightThanSlots) {
  for (int i = 0; i < 10; ++i) {
    Submit(MakeRequest());
  }
  // Two leaves with one slot and one pipelined request each.
  EXPECT_EQ(world_.sends.size(), 4U);
  EXPECT_EQ(dispatcher_->queued(), 6);
  world_.Answer(0);
  EXPECT_EQ(world_.sends.size(), 5U);
  EXPECT_EQ(world_.sends.back().leaf, world_.sends.front().leaf);
}

TEST_F(DispatcherTest, DeliversTheWholeAnswerOnce) {
  const auto result = Submit(MakeRequest());
  world_.Answer(0, "[\"x\"]");
  ASSERT_TRUE(result->has_value());
  EXPECT_EQ((*result)->outcome, ShardOutcome::kAnswered);
  EXPECT_EQ((*result)->items, "[\"x\"]");
  EXPECT_EQ((*result)->sends, 1);
}

TEST_F(DispatcherTest, SecondSendWinsAndLoserIsCancelled) {
  RecordServiceTimes();
  const auto result = Submit(MakeRequest());
  ASSERT_EQ(world_.sends.size(), 1U);
  world_.scheduler->Advance(Milliseconds(60));
  ASSERT_EQ(world_.sends.size(), 2U);
  EXPECT_NE(world_.sends[0].leaf, world_.sends[1].leaf);
  world_.Answer(1);
  ASSERT_TRUE(result->has_value());
  EXPECT_EQ((*result)->sends, 2);
  EXPECT_EQ(world_.cancelled_attempts,
            std::vector<std::string>{world_.sends[0].request.attempt_id});
  // The straggler's late answer has no effect.
  world_.Answer(0);
}

TEST_F(DispatcherTest, SecondSendGoesToAnotherRegionWithoutLocalReplica) {
  RecordServiceTimes();
  world_.SetLeafState("leaf-2", UpstreamState::kDraining);
  world_.has_other_region = true;
  const auto result = Submit(MakeRequest());
  world_.scheduler->Advance(Milliseconds(60));
  ASSERT_EQ(world_.forwarded.size(), 1U);
  EXPECT_TRUE(world_.forwarded.front().is_hedge);
  ShardResult remote;
  remote.outcome = ShardOutcome::kAnswered;
  remote.items = "[2]";
  remote.sends = 1;
  world_.forward_callbacks.front()(remote);
  world_.scheduler->RunReady();
  ASSERT_TRUE(result->has_value());
  EXPECT_EQ((*result)->items, "[2]");
  EXPECT_EQ((*result)->sends, 2);
}

TEST_F(DispatcherTest, AtMostOnceIsNeverSentAgain) {
  RecordServiceTimes();
  for (const LeafOutcome failure :
       {LeafOutcome::kTimeout, LeafOutcome::kLost, LeafOutcome::kMismatch}) {
    world_.sends.clear();
    ShardRequest request = MakeRequest();
    request.is_at_most_once = true;
    const auto result = Submit(request);
    world_.scheduler->Advance(Milliseconds(60));
    ASSERT_EQ(world_.sends.size(), 1U);
    world_.Fail(0, failure);
    world_.scheduler->Advance(Milliseconds(60));
    EXPECT_EQ(world_.sends.size(), 1U);
    ASSERT_TRUE(result->has_value());
    EXPECT_EQ((*result)->outcome, ShardOutcome::kUnknown);
  }
}

TEST_F(DispatcherTest, AtMostOnceIsRetriedAfterACertainRefusal) {
  ShardRequest request = MakeRequest();
  request.is_at_most_once = true;
  const auto result = Submit(request);
  world_.Fail(0, LeafOutcome::kDraining);
  ASSERT_EQ(world_.sends.size(), 2U);
  EXPECT_NE(world_.sends[0].leaf, world_.sends[1].leaf);
  world_.Answer(1);
  ASSERT_TRUE(result->has_value());
  EXPECT_EQ((*result)->outcome, ShardOutcome::kAnswered);
}

TEST_F(DispatcherTest, NoReplicaLeftInTheSnapshot) {
  const auto result = Submit(MakeRequest());
  world_.Fail(0, LeafOutcome::kWrongSnapshot);
  world_.Fail(1, LeafOutcome::kWrongSnapshot);
  ASSERT_TRUE(result->has_value());
  EXPECT_EQ((*result)->outcome, ShardOutcome::kWrongSnapshot);
}

TEST_F(DispatcherTest, ExpiredInTheQueueIsRefusedNotUnknown) {
  for (int i = 0; i < 4; ++i) {
    Submit(MakeRequest());
  }
  ShardRequest request = MakeRequest();
  request.deadline = world_.clock.Now() + Milliseconds(50);
  const auto result = Submit(request);
  world_.scheduler->Advance(Milliseconds(51));
  ASSERT_TRUE(result->has_value());
  EXPECT_EQ((*result)->outcome, ShardOutcome::kRefused);
  EXPECT_EQ((*result)->sends, 0);
  // It is not sent later either.
  world_.Answer(0);
  EXPECT_EQ(world_.sends.size(), 4U);
}

TEST_F(DispatcherTest, ExpiredAtTheLeafIsUnknown) {
  const auto result = Submit(MakeRequest());
  world_.scheduler->Advance(Milliseconds(501));
  ASSERT_TRUE(result->has_value());
  EXPECT_EQ((*result)->outcome, ShardOutcome::kUnknown);
}

TEST_F(DispatcherTest, DrainingLeafGetsNothingNew) {
  world_.SetLeafState("leaf-1", UpstreamState::kDraining);
  for (int i = 0; i < 6; ++i) {
    Submit(MakeRequest());
  }
  EXPECT_EQ(world_.sends.size(), 2U);
  for (const auto& send : world_.sends) {
    EXPECT_EQ(send.leaf, "leaf-2");
  }
}

TEST_F(DispatcherTest, QueuedRequestsGoToALeafThatComesBack) {
  world_.SetLeafState("leaf-1", UpstreamState::kDraining);
  for (int i = 0; i < 4; ++i) {
    Submit(MakeRequest());
  }
  ASSERT_EQ(world_.sends.size(), 2U);
  world_.SetLeafState("leaf-1", UpstreamState::kServing);
  world_.scheduler->Advance(Milliseconds(11));
  EXPECT_EQ(world_.sends.size(), 4U);
}

TEST_F(DispatcherTest, CancelDropsQueuedAndSentWork) {
  std::vector<std::uint64_t> jobs;
  jobs.reserve(5);
  for (int i = 0; i < 5; ++i) {
    jobs.push_back(dispatcher_->Submit(MakeRequest(), [](ShardResult) {
      ADD_FAILURE() << "a cancelled request was delivered";
    }));
  }
  world_.scheduler->RunReady();
  for (const auto job : jobs) {
    dispatcher_->Cancel(job);
  }
  world_.scheduler->RunReady();
  EXPECT_EQ(dispatcher_->queued(), 0);
  EXPECT_EQ(world_.cancelled_attempts.size(), world_.sends.size());
}

TEST_F(DispatcherTest, ShedRequestIsRetriedOnlyAfterRetryAfter) {
  world_.SetLeafState("leaf-2", UpstreamState::kUnreachable);
  const auto result = Submit(MakeRequest());
  world_.Fail(0, LeafOutcome::kShed, Milliseconds(20));
  world_.scheduler->Advance(Milliseconds(19));
  EXPECT_EQ(world_.sends.size(), 1U);
  EXPECT_FALSE(result->has_value());
  world_.scheduler->Advance(Milliseconds(60));
  ASSERT_EQ(world_.sends.size(), 2U);
  world_.Answer(1);
  ASSERT_TRUE(result->has_value());
  EXPECT_EQ((*result)->outcome, ShardOutcome::kAnswered);
}

TEST_F(DispatcherTest, ShedWithoutOtherReplicaReportsRetryAfter) {
  world_.SetLeafState("leaf-2", UpstreamState::kUnreachable);
  ShardRequest request = MakeRequest();
  request.deadline = world_.clock.Now() + Milliseconds(20);
  request.target_due = request.deadline;
  const auto result = Submit(request);
  world_.Fail(0, LeafOutcome::kShed, Milliseconds(40));
  ASSERT_TRUE(result->has_value());
  EXPECT_EQ((*result)->outcome, ShardOutcome::kRefused);
  EXPECT_GE((*result)->retry_after, Milliseconds(40));
}

TEST_F(DispatcherTest, ShedAfterALostReplyIsUnknownNotRefused) {
  const auto result = Submit(MakeRequest());
  world_.Fail(0, LeafOutcome::kLost);
  ASSERT_EQ(world_.sends.size(), 2U);
  // No time is left for a retry, but the first leaf may have run the request.
  world_.Fail(1, LeafOutcome::kShed, Milliseconds(600));
  ASSERT_TRUE(result->has_value());
  EXPECT_EQ((*result)->outcome, ShardOutcome::kUnknown);
}

TEST_F(DispatcherTest, ASecondSendElsewhereThatMayHaveRunIsUnknown) {
  RecordServiceTimes();
  world_.SetLeafState("leaf-2", UpstreamState::kDraining);
  world_.has_other_region = true;
  const auto result = Submit(MakeRequest());
  world_.scheduler->Advance(Milliseconds(60));
  ASSERT_EQ(world_.forwarded.size(), 1U);
  world_.Fail(0, LeafOutcome::kDraining);
  EXPECT_FALSE(result->has_value());
  ShardResult lost;
  lost.outcome = ShardOutcome::kUnknown;
  lost.sends = 1;
  world_.forward_callbacks.front()(lost);
  world_.scheduler->RunReady();
  ASSERT_TRUE(result->has_value());
  EXPECT_EQ((*result)->outcome, ShardOutcome::kUnknown);
}

}  // namespace
}  // namespace medlarspread::routing
