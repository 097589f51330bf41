// Tests that replies are matched to their sub-queries and that other replies
// are dropped.

#include "src/routing/sub_query_client.h"

#include <gtest/gtest.h>

#include "src/routing/wire_conversion.h"
#include "tests/support/routing_world.h"

namespace medlarspread::routing {
namespace {

using base::Milliseconds;
using blackboard::KeyRange;
using testing_support::kLowerHalf;
using testing_support::kSnapshot;
using testing_support::kUpperHalf;
using testing_support::RoutingWorld;

class SubQueryClientTest : public testing::Test {
 protected:
  SubQueryClientTest() {
    peers_.send = [this](const std::string& peer, peer::Message message) {
      if (peer == "vm-unknown") {
        return base::Status(base::MakeError(base::ErrorCode::kUnreachable,
                                            base::Step::kPeerLink, peer, ""));
      }
      sent_.push_back(std::move(message));
      return base::Status(base::Done{});
    };
    client_ = std::make_shared<SubQueryClient>(
        1000, world_.clock, world_.blackboard, peers_,
        world_.MakeDispatcherSet(), std::make_shared<LoadTable>(world_.clock));
  }

  std::uint64_t Send(const std::string& owner) {
    SubQueryRequest request;
    request.owner = owner;
    request.region = "north";
    request.common.request_id = "r1";
    request.common.collection = "archive";
    request.common.snapshot = kSnapshot;
    request.common.deadline = world_.clock.Now() + Milliseconds(500);
    request.common.query = std::make_shared<const std::string>("{}");
    request.ranges = {kLowerHalf, kUpperHalf};
    return client_->Send(request,
                         [this](const KeyRange& range, ShardResult result) {
                           results_.emplace_back(range, std::move(result));
                         });
  }

  static peer::wire::ShardReply MakeReply(std::uint64_t id) {
    ShardRequest request;
    request.request_id = "r1";
    request.snapshot = kSnapshot;
    request.range = kLowerHalf;
    ShardResult result;
    result.outcome = ShardOutcome::kAnswered;
    result.items = "[1]";
    return ToWire(id, request, result);
  }

  RoutingWorld world_;
  peer::PeerPort peers_;
  std::shared_ptr<SubQueryClient> client_;
  std::vector<peer::Message> sent_;
  std::vector<std::pair<KeyRange, ShardResult>> results_;
};

TEST_F(SubQueryClientTest, TakesEachRangeOnce) {
  const auto id = Send("vm-b");
  client_->DidReceive({"vm-b", 1}, MakeReply(id));
  client_->DidReceive({"vm-b", 1}, MakeReply(id));
  ASSERT_EQ(results_.size(), 1U);
  EXPECT_EQ(results_[0].first, kLowerHalf);
  EXPECT_EQ(results_[0].second.outcome, ShardOutcome::kAnswered);
}

TEST_F(SubQueryClientTest, DropsMismatchedReplies) {
  const auto id = Send("vm-b");
  auto other_request = MakeReply(id);
  other_request.request_id = "r2";
  client_->DidReceive({"vm-b", 1}, other_request);
  auto other_snapshot = MakeReply(id);
  other_snapshot.snapshot.index_version = 8;
  client_->DidReceive({"vm-b", 1}, other_snapshot);
  auto other_range = MakeReply(id);
  other_range.range.high = 100;
  client_->DidReceive({"vm-b", 1}, other_range);
  client_->DidReceive({"vm-c", 1}, MakeReply(id));
  client_->DidReceive({"vm-b", 1}, MakeReply(id + 1));
  auto bad_outcome = MakeReply(id);
  bad_outcome.outcome = 99;
  client_->DidReceive({"vm-b", 1}, bad_outcome);
  EXPECT_TRUE(results_.empty());
}

TEST_F(SubQueryClientTest, LostPeerLeavesTheOutcomeUnknown) {
  const auto id = Send("vm-b");
  client_->DidReceive({"vm-b", 1}, MakeReply(id));
  client_->DidLosePeer("vm-b");
  ASSERT_EQ(results_.size(), 2U);
  EXPECT_EQ(results_[1].first, kUpperHalf);
  EXPECT_EQ(results_[1].second.outcome, ShardOutcome::kUnknown);
  EXPECT_EQ(results_[1].second.error.peer, "vm-b");
}

TEST_F(SubQueryClientTest, UnsentIsRefused) {
  Send("vm-unknown");
  ASSERT_EQ(results_.size(), 2U);
  EXPECT_EQ(results_[0].second.outcome, ShardOutcome::kRefused);
}

TEST_F(SubQueryClientTest, CancelTellsTheOwnerAndDropsLateReplies) {
  const auto id = Send("vm-b");
  client_->Cancel(id);
  client_->DidReceive({"vm-b", 1}, MakeReply(id));
  EXPECT_TRUE(results_.empty());
  ASSERT_EQ(sent_.size(), 2U);
  EXPECT_EQ(std::get<peer::wire::CancelSubQuery>(sent_[1]).sub_query_id,
            static_cast<std::int64_t>(id));
}

TEST_F(SubQueryClientTest, NoticesASilentPeer) {
  Send("vm-b");
  EXPECT_FALSE(client_->is_silent("vm-b"));
  world_.scheduler->Advance(SubQueryClient::kSilenceTimeout);
  EXPECT_TRUE(client_->is_silent("vm-b"));
  client_->DidHearFrom("vm-b");
  EXPECT_FALSE(client_->is_silent("vm-b"));
  EXPECT_FALSE(client_->is_silent("vm-c"));
}

}  // namespace
}  // namespace medlarspread::routing
