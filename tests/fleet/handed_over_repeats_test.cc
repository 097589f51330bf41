// Guards against uncounted repeats: a part of a request that one daemon hands
// over to another was counted as a first send by the receiving daemon, although
// the leaf had already received it. The leaves' own counts revealed this during
// the search for the cause of another shard's repeats.

#include <cstdint>

#include <gtest/gtest.h>

#include "emulator/fleet/patterns.h"
#include "emulator/fleet/virtual_fleet.h"

namespace medlarspread::emulator {
namespace {

using base::Milliseconds;

constexpr std::uint64_t kSeeds = 2;

// All leaves reject all requests for ten seconds.
FleetPlan WithRejectingLeaves(std::uint64_t seed) {
  FleetPlan plan = LargeFleet(seed);
  plan.length = Milliseconds(16'000);
  plan.faults = {{FaultKind::kSheds, Milliseconds(4'000), Milliseconds(14'000),
                  1.0, 1.0, ""}};
  return plan;
}

// No daemon receives the replies of other daemons. The route allows enough
// attempts for a second aggregator after the first.
FleetPlan WithMuteDaemons(std::uint64_t seed) {
  FleetPlan plan = LargeFleet(seed);
  plan.classes.front().most_attempts = 4;
  plan.length = Milliseconds(16'000);
  plan.faults = {{FaultKind::kMuteDaemons, Milliseconds(4'000),
                  Milliseconds(14'000), 1.0, 1.0, ""}};
  return plan;
}

TEST(HandedOverRepeatsTest, ResendsAfterRejectionsAreCounted) {
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    const FleetReport report = VirtualFleet(WithRejectingLeaves(seed)).Run();
    EXPECT_EQ(report.violations, std::vector<std::string>{}) << "seed " << seed;
  }
}

TEST(HandedOverRepeatsTest, ResendsAfterASilentAggregatorAreCounted) {
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    const FleetReport report = VirtualFleet(WithMuteDaemons(seed)).Run();
    EXPECT_EQ(report.violations, std::vector<std::string>{}) << "seed " << seed;
  }
}

}  // namespace
}  // namespace medlarspread::emulator
