// What was seen: the leaves of one shard got a quarter more sends beyond the
// first of their request than all daemons together may send them. No other
// shard got more than usual, and callers were answered late.
//
// How it came about: a leaf ended while the store was away, so that daemons
// went on with its entry. Two seconds later a leaf of another shard started at
// its address. The other leaves of the first shard were slow, or had no
// connection free, and the one that had ended was tried again and again.
//
// What caused it: "another leaf has this address" was taken for a passing
// failure. The leaf had room again a moment later, and its quick refusals made
// it look better than leaves that answer late. Such a send is the first of its
// request to the one shard, so nothing pays for it, and one more of it to the
// other shard, whose leaf it reaches.
//
// What proved it: the leaf at that address turned away as many sends as the
// shard got too many, from the second of its start to that in which the entry
// of the old leaf went. In virtual time the same brings the same about, and
// without the sends to leaves that were replaced nothing is left of it.

#include <cstdint>

#include <gtest/gtest.h>

#include "emulator/fleet/patterns.h"
#include "emulator/fleet/virtual_fleet.h"

namespace medlarspread::emulator {
namespace {

using base::Milliseconds;

constexpr std::uint64_t kSeeds = 4;

// A leaf of shard 3 ends and its address goes to a leaf of shard 4; the two
// other leaves of shard 3 are slow.
FleetPlan WithReusedAddress(FleetPlan plan) {
  const std::string shard = CollectionName(3);
  plan.length = Milliseconds(24'000);
  plan.faults = {{FaultKind::kAddressReused, Milliseconds(6'000),
                  Milliseconds(8'000), 1.0, 0.34, shard, CollectionName(4)},
                 {FaultKind::kSlow, Milliseconds(5'000), Milliseconds(22'000),
                  15.0, 1.0, shard}};
  return plan;
}

TEST(AddressReuseTest, TheNewLeafGetsNoMoreThanItsShardBears) {
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    const FleetReport report =
        VirtualFleet(WithReusedAddress(SmallFleet(seed))).Run();
    EXPECT_EQ(report.violations, std::vector<std::string>{}) << "seed " << seed;
  }
}

TEST(AddressReuseTest, TheNewLeafGetsNoMoreThanItsShardBearsInALargeFleet) {
  for (std::uint64_t seed = 1; seed <= 2; ++seed) {
    const FleetReport report =
        VirtualFleet(WithReusedAddress(LargeFleet(seed))).Run();
    EXPECT_EQ(report.violations, std::vector<std::string>{}) << "seed " << seed;
  }
}

}  // namespace
}  // namespace medlarspread::emulator
