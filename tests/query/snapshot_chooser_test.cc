// Tests that the newest snapshot that meets the coverage target is chosen.

#include "src/query/snapshot_chooser.h"

#include <gtest/gtest.h>

#include "tests/support/routing_world.h"

namespace medlarspread::query {
namespace {

using blackboard::Snapshot;
using testing_support::kLowerHalf;
using testing_support::kUpperHalf;
using testing_support::RoutingWorld;

constexpr Snapshot kOld{7, 1};
constexpr Snapshot kNew{8, 2};

class SnapshotChooserTest : public testing::Test {
 protected:
  std::optional<SnapshotPlan> Choose(double target) {
    return ChooseSnapshot(
        routing::ReplicaIndex(world_.blackboard.upstreams.Read(), "archive"),
        target);
  }

  RoutingWorld world_;
};

TEST_F(SnapshotChooserTest, NothingHeldNothingChosen) {
  EXPECT_FALSE(Choose(0.0));
}

TEST_F(SnapshotChooserTest, WaitsForTheNewVersionToCoverEnough) {
  world_.AddLeaf("leaf-1", "north", {{kOld, kLowerHalf}, {kNew, kLowerHalf}});
  world_.AddLeaf("leaf-2", "north", {{kOld, kUpperHalf}});
  EXPECT_EQ(Choose(1.0)->snapshot, kOld);
  EXPECT_EQ(Choose(0.5)->snapshot, kNew);
  world_.AddLeaf("leaf-2", "north", {{kOld, kUpperHalf}, {kNew, kUpperHalf}});
  EXPECT_EQ(Choose(1.0)->snapshot, kNew);
}

TEST_F(SnapshotChooserTest, CountsOverTheLayoutOfTheSnapshot) {
  // The new layout splits the lower half, and one of its parts is missing.
  world_.AddLeaf("leaf-1", "north", {{kOld, kLowerHalf}, {kNew, {0, 16384}}});
  world_.AddLeaf("leaf-2", "north", {{kOld, kUpperHalf}, {kNew, kUpperHalf}});
  const auto plan = Choose(0.7);
  EXPECT_EQ(plan->snapshot, kNew);
  EXPECT_EQ(plan->share, 0.75);
  EXPECT_EQ(Choose(0.8)->snapshot, kOld);
}

TEST_F(SnapshotChooserTest, FallsBackToTheWidest) {
  world_.AddLeaf("leaf-1", "north", {{kNew, {0, 16384}}});
  world_.AddLeaf("leaf-2", "north", {{kOld, kUpperHalf}});
  EXPECT_EQ(Choose(1.0)->snapshot, kOld);
}

TEST_F(SnapshotChooserTest, OverlapsCountOnce) {
  world_.AddLeaf("leaf-1", "north", {{kOld, kLowerHalf}});
  world_.AddLeaf("leaf-2", "north", {{kOld, {16384, 49152}}});
  const auto plan = Choose(1.0);
  EXPECT_EQ(plan->share, 0.5);
  EXPECT_EQ(plan->ranges, std::vector<blackboard::KeyRange>{kLowerHalf});
}

TEST_F(SnapshotChooserTest, LeavesThatDrainAreNotCounted) {
  world_.AddLeaf("leaf-1", "north", {{kOld, kLowerHalf}});
  world_.SetLeafState("leaf-1", blackboard::UpstreamState::kDraining);
  EXPECT_FALSE(Choose(0.0));
}

}  // namespace
}  // namespace medlarspread::query
