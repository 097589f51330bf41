// Measures how long a fleet takes to learn that a leaf is gone, and checks that
// leaves whose entries expired while the store was unavailable stay in service,
// in virtual time.

#include <string>
#include <vector>

#include <gtest/gtest.h>

#include "tests/relay/update_fleet.h"

namespace medlarspread::relay {
namespace {

using base::Milliseconds;
using tests::OutageKind;

constexpr FleetSize kSmall{9, 3};
constexpr FleetSize kGrown{60, 4};

// A reader's watches and renewals repeat at different intervals; a fault meets
// all combinations in some phase of this length.
constexpr base::Duration kPhases = Milliseconds(6'000);

class RemovalFleetTest : public testing::TestWithParam<FleetSize> {
 protected:
  // Plays the case at many phases, each with another seed.
  static void PlayAtEachPhase(const std::function<base::Duration(Fleet&)>& play,
                              base::Duration bound) {
    constexpr base::Duration kStep = Milliseconds(40);
    base::Duration worst{};
    std::uint64_t seed = 0;
    for (base::Duration phase{}; phase < kPhases; phase += kStep) {
      Fleet fleet(GetParam(), ++seed);
      fleet.Advance(phase);
      const base::Duration time = play(fleet);
      EXPECT_LE(time, bound)
          << "seed " << seed << ", phase " << phase.count() / 1000
          << " ms: " << time.count() / 1000 << " ms";
      worst = std::max(worst, time);
    }
    RecordProperty("worst_ms", std::to_string(worst.count() / 1000));
  }
};

// Guards against removals that are delayed as after an outage, since the open
// connections to the store went silent.
TEST_P(RemovalFleetTest, RemovalIsKnownInTimeAfterConnectionsWentSilent) {
  PlayAtEachPhase(
      [](Fleet& fleet) {
        fleet.store.SilenceOpenConnections();
        fleet.Advance(fleet.Chance(Milliseconds(500)));
        return fleet.RemoveLeaf();
      },
      kPropagationBudget);
}

TEST_P(RemovalFleetTest, ChangeIsKnownInTimeAfterConnectionsWentSilent) {
  PlayAtEachPhase(
      [](Fleet& fleet) {
        fleet.store.SilenceOpenConnections();
        fleet.Advance(fleet.Chance(Milliseconds(500)));
        fleet.Change();
        return fleet.AwaitInForce();
      },
      kPropagationBudget);
}

// Guards against a lease renewal that counts as proof that the answer to a
// watch, which holds the removal, was not lost.
TEST_P(RemovalFleetTest, RemovalIsKnownInTimeAfterTheAnswerWithItWasLost) {
  PlayAtEachPhase(
      [](Fleet& fleet) {
        fleet.store.LoseWatchAnswers(1);
        return fleet.RemoveLeaf();
      },
      kPropagationBudget);
}

TEST_P(RemovalFleetTest, ChangeIsKnownInTimeAfterTheAnswerWithItWasLost) {
  PlayAtEachPhase(
      [](Fleet& fleet) {
        fleet.store.LoseWatchAnswers(1);
        fleet.Change();
        return fleet.AwaitInForce();
      },
      kPropagationBudget);
}

INSTANTIATE_TEST_SUITE_P(Sizes,
                         RemovalFleetTest,
                         testing::Values(kSmall, kGrown),
                         [](const auto& info) {
                           return "Daemons" +
                                  std::to_string(info.param.daemons);
                         });

class ExpiryFleetTest : public testing::TestWithParam<OutageKind> {
 protected:
  static std::string LeafOf(int index) {
    return "servers/expiring" + std::to_string(index);
  }

  static int RemovalsIn(const Fleet& fleet) {
    int removals = 0;
    for (const auto& [name, daemon] : fleet.daemons) {
      removals += daemon->removals();
    }
    return removals;
  }
};

// The other side of a removal that is reported at once: entries expire while
// the store is unavailable, and are written again within two seconds of its
// return.
TEST_P(ExpiryFleetTest, LeavesThatExpiredInAnOutageStayInService) {
  constexpr int kLeaves = 5;
  constexpr int kSeeds = 60;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    Fleet fleet(kSmall, seed);
    for (int leaf = 0; leaf < kLeaves; ++leaf) {
      fleet.store.Write(LeafOf(leaf), "ready");
    }
    fleet.Advance(Milliseconds(3'000) + fleet.Chance(Milliseconds(1'500)));
    const int removals = RemovalsIn(fleet);
    fleet.store.set_outage(GetParam());
    fleet.Advance(Milliseconds(2'400) + fleet.Chance(Milliseconds(7'600)));
    for (int leaf = 0; leaf < kLeaves; ++leaf) {
      fleet.store.Write(LeafOf(leaf), std::nullopt);
    }
    fleet.store.set_outage(OutageKind::kNone);
    for (int leaf = 0; leaf < kLeaves; ++leaf) {
      fleet.Advance(fleet.Chance(Milliseconds(1'900) / kLeaves));
      fleet.store.Write(LeafOf(leaf), "ready");
    }
    fleet.Advance(Milliseconds(6'000));
    EXPECT_EQ(RemovalsIn(fleet), removals) << "seed " << seed;
  }
}

// A leaf whose entry is not written again is gone.
TEST_P(ExpiryFleetTest, LeavesThatEndedInAnOutageAreRemovedAfterIt) {
  constexpr int kSeeds = 30;
  // The next attempt to read the store, the delay, and the way to followers.
  constexpr base::Duration kBound = store::kMaxBackoff + Milliseconds(1'000) +
                                    store::FollowerSettings{}.removal_delay +
                                    kLongPollWait;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    Fleet fleet(kSmall, seed);
    fleet.store.set_outage(GetParam());
    fleet.Advance(Milliseconds(2'400) + fleet.Chance(Milliseconds(7'600)));
    fleet.store.set_outage(OutageKind::kNone);
    EXPECT_LE(fleet.RemoveLeaf(), kBound) << "seed " << seed;
  }
}

INSTANTIATE_TEST_SUITE_P(Kinds,
                         ExpiryFleetTest,
                         testing::Values(OutageKind::kSilent,
                                         OutageKind::kReset),
                         [](const auto& info) {
                           return info.param == OutageKind::kSilent ? "Silent"
                                                                    : "Reset";
                         });

}  // namespace
}  // namespace medlarspread::relay
