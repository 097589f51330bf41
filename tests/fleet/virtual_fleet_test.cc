// Tests of the virtual fleet itself: the same seed gives the same run, and its
// checks detect the violations that they exist for.

#include "emulator/fleet/virtual_fleet.h"

#include <gtest/gtest.h>

#include "emulator/fleet/patterns.h"

namespace medlarspread::emulator {
namespace {

FleetPlan ShortPlan(std::uint64_t seed) {
  FleetPlan plan = FindPattern("resets")->make(seed);
  plan.length = base::Milliseconds(4'000);
  plan.faults.front().begin = base::Milliseconds(1'000);
  return plan;
}

TEST(VirtualFleetTest, TheSameSeedGivesTheSameRun) {
  const FleetReport one = VirtualFleet(ShortPlan(7)).Run();
  const FleetReport other = VirtualFleet(ShortPlan(7)).Run();
  EXPECT_EQ(one.sends, other.sends);
  EXPECT_EQ(one.Sum(0, 5).latencies, other.Sum(0, 5).latencies);
  const FleetReport third = VirtualFleet(ShortPlan(8)).Run();
  EXPECT_NE(one.Sum(0, 5).latencies, third.Sum(0, 5).latencies);
}

TEST(VirtualFleetTest, EveryRequestIsCountedOnce) {
  const CallerCounts counts = VirtualFleet(ShortPlan(1)).Run().Sum(0, 5);
  EXPECT_GT(counts.asked, 500);
  EXPECT_EQ(counts.asked,
            counts.in_time + counts.late + counts.refused + counts.failed);
}

// The extra-send bound is set to nearly zero only for the check, while the
// daemons still use their configured one.
TEST(VirtualFleetTest, DetectsTooManyExtraSends) {
  FleetPlan plan = ShortPlan(1);
  plan.checked_extra_sends = admission::ExtraSendBound{0.0, 1.0};
  EXPECT_FALSE(VirtualFleet(plan).Run().violations.empty());
}

}  // namespace
}  // namespace medlarspread::emulator
