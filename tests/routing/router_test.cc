// Tests the choice of the region and the queue owner, and that slow regions and
// suspect daemons are avoided.

#include "src/routing/router.h"

#include <gtest/gtest.h>

#include "tests/support/routing_world.h"

namespace medlarspread::routing {
namespace {

using base::Milliseconds;
using testing_support::kLowerHalf;
using testing_support::kSnapshot;
using testing_support::RoutingWorld;

class RouterTest : public testing::Test {
 protected:
  void SetUp() override {
    world_.AddDaemon("vm-b", "north");
    world_.AddDaemon("vm-c", "south");
    world_.AddLeaf("leaf-1", "north", {shard_});
    world_.AddLeaf("leaf-2", "south", {shard_});
  }

  std::optional<Destination> Choose(const Exclusions& exclusions = {}) {
    return router_.Choose("archive", "counter", shard_, exclusions);
  }

  const ShardKey shard_{kSnapshot, kLowerHalf};
  RoutingWorld world_;
  std::set<std::string> suspects_;
  std::shared_ptr<LoadTable> loads_ = std::make_shared<LoadTable>(world_.clock);
  Router router_{
      QueueOwnerPolicy{}, world_.blackboard, loads_,
      [this](const std::string& peer) { return suspects_.contains(peer); }};
};

TEST_F(RouterTest, PrefersItsOwnRegionUntilItsQueueIsLong) {
  ASSERT_TRUE(Choose());
  EXPECT_EQ(Choose()->region, "north");
  ShardLoad load;
  load.expected_wait = Milliseconds(80);
  loads_->DidHear("archive", "counter", 0, "north", load, Milliseconds(1));
  EXPECT_EQ(Choose()->region, "south");
  // The reported wait applied to another class in that queue.
  EXPECT_EQ(router_.Choose("archive", "audit", shard_, {})->region, "north");
  // A wait of 80 ms has not passed after 20 ms.
  world_.scheduler->Advance(Milliseconds(20));
  EXPECT_EQ(Choose()->region, "south");
  // The reported wait has expired, so the own region is tried again.
  world_.scheduler->Advance(Milliseconds(300));
  EXPECT_EQ(Choose()->region, "north");
}

TEST_F(RouterTest, AvoidsASlowLeafAndProbesItAgain) {
  ShardLoad load;
  load.service_excess = Milliseconds(45);
  loads_->DidHear("archive", "counter", 0, "north", load, Milliseconds(1));
  world_.scheduler->Advance(Milliseconds(4900));
  EXPECT_EQ(Choose()->region, "south");
  world_.scheduler->Advance(Milliseconds(200));
  EXPECT_EQ(Choose()->region, "north");
}

TEST_F(RouterTest, PassesOverSuspectsAndExclusions) {
  const std::string first = Choose()->owner;
  suspects_.insert(first);
  const std::string second = Choose()->owner;
  if (first != "vm-a") {
    EXPECT_NE(first, second);
  }
  EXPECT_EQ(Choose({{}, {"vm-a", "vm-b"}})->owner, "vm-c");
  EXPECT_EQ(Choose({{"north"}, {}})->region, "south");
  EXPECT_FALSE(Choose({{"north", "south"}, {}}));
}

TEST_F(RouterTest, FollowsTheMembershipView) {
  auto view = *world_.blackboard.membership.Read();
  EXPECT_EQ(Choose({{"north"}, {}})->owner, "vm-c");
  view.members.at("vm-c").state = blackboard::MemberState::kLeaving;
  world_.blackboard.membership.Write(view);
  EXPECT_FALSE(Choose({{"north"}, {}}));
}

}  // namespace
}  // namespace medlarspread::routing
