// Guards against too many sends to a shard whose leaf got the address of an
// ended leaf of another shard.
//
// The failure: the leaves of one shard received a quarter more sends beyond the
// first of each request than all daemons together are allowed to send. No other
// shard received more than usual, and callers were answered late.
//
// How it came about: a leaf ended during a store outage, so the daemons kept
// its entry. Two seconds later a leaf of another shard started at the same
// address. The other leaves of the first shard were slow or had no free
// connection, so the daemons kept retrying the leaf that had ended.
//
// The cause: the error that another leaf now has the address was treated as
// transient. The leaf had capacity again a moment later, and its quick refusals
// made it look better than leaves that reply late. Such a send counts as the
// first send of its request to the old leaf's shard, so the extra-send budget
// isn't charged, but it arrives as an additional send at the shard of the new
// leaf.
//
// The evidence: from the second in which it started until the old leaf's entry
// was removed, the new leaf refused as many sends as its shard received in
// excess. The simulation in virtual time reproduces the failure, and it
// disappears when no sends go to replaced leaves.

#include <cstdint>

#include <gtest/gtest.h>

#include "emulator/fleet/patterns.h"
#include "emulator/fleet/virtual_fleet.h"

namespace medlarspread::emulator {
namespace {

using base::Milliseconds;

constexpr std::uint64_t kSeeds = 4;

// A leaf of shard 3 ends and a leaf of shard 4 starts at its address; the two
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

TEST(AddressReuseTest, TheNewLeafStaysWithinTheExtraSendBound) {
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    const FleetReport report =
        VirtualFleet(WithReusedAddress(SmallFleet(seed))).Run();
    EXPECT_EQ(report.violations, std::vector<std::string>{}) << "seed " << seed;
  }
}

TEST(AddressReuseTest, TheNewLeafStaysWithinTheExtraSendBoundInALargeFleet) {
  for (std::uint64_t seed = 1; seed <= 2; ++seed) {
    const FleetReport report =
        VirtualFleet(WithReusedAddress(LargeFleet(seed))).Run();
    EXPECT_EQ(report.violations, std::vector<std::string>{}) << "seed " << seed;
  }
}

}  // namespace
}  // namespace medlarspread::emulator
