// Tests membership among a few simulated daemons with joins, failures, freezes,
// network partitions, and a VM list that lags or is unavailable. The test
// parameter is the random seed.

#include "src/membership/membership_controller.h"

#include <algorithm>

#include <gtest/gtest.h>

#include "tests/membership/world.h"

namespace medlarspread::membership {
namespace {

constexpr base::Duration kSettled = base::Milliseconds(10'000);
constexpr base::Duration kOwnDomainBound = base::Milliseconds(2'000);
constexpr base::Duration kOtherDomainsBound = base::Milliseconds(5'000);
constexpr base::Duration kRejoinBound = base::Milliseconds(18'000);
constexpr std::size_t kVmCount = 13;

class MembershipControllerTest : public testing::TestWithParam<int> {
 protected:
  MembershipControllerTest() : world_(static_cast<std::uint64_t>(GetParam())) {}

  // Three domains in two regions: a and b in the north, c in the south.
  void SetUp() override {
    world_.AddDomain("north", "a", 6);
    world_.AddDomain("north", "b", 4);
    world_.AddDomain("south", "c", 3);
    ASSERT_LT(world_.Until(kSettled, [&] { return world_.AllAgree(); }),
              kSettled);
  }

  bool AllSeeLeaving(const std::string& name) const {
    const auto all = world_.running();
    return std::all_of(all.begin(), all.end(),
                       [&name](const Vm* vm) { return vm->SeesLeaving(name); });
  }

  // Whether every VM's view has this number of members, by the VM's region.
  bool AllHave(std::size_t north_count, std::size_t south_count) const {
    const auto all = world_.running();
    return std::all_of(all.begin(), all.end(), [&](const Vm* vm) {
      return vm->view()->members.size() ==
             (vm->settings().region == "north" ? north_count : south_count);
    });
  }

  // Imitates the targets module: a daemon that sees the higher revision
  // activates it.
  bool DidAllTakeOver(std::int64_t revision) {
    bool did_all = true;
    for (Vm* vm : world_.running()) {
      bool did_see = false;
      for (const auto& [peer, seen] : vm->seen_targets) {
        did_see = did_see || seen == revision;
      }
      if (did_see) {
        vm->SetTargets(revision);
      }
      did_all = did_all && did_see;
    }
    return did_all;
  }

  World world_;
};

TEST_P(MembershipControllerTest, AgreementLasts) {
  for (int i = 0; i < 100; ++i) {
    world_.Advance(base::Milliseconds(300));
    ASSERT_TRUE(world_.AllAgree());
  }
}

TEST_P(MembershipControllerTest, ALoneDaemonSettlesByItself) {
  World world(1);
  Vm& vm = world.Add("only", "north", "a");
  EXPECT_LT(world.Until(kSettled, [&] { return vm.view()->is_settled; }),
            kSettled);
  EXPECT_TRUE(vm.Sees("only"));
}

TEST_P(MembershipControllerTest, NewcomerIsSeenEverywhereAtOnce) {
  world_.Add("a-new", "north", "a");
  EXPECT_LT(world_.Until(kOwnDomainBound, [&] { return world_.AllAgree(); }),
            kOwnDomainBound);
}

TEST_P(MembershipControllerTest,
       RestartedVmJoinsThroughPeersWhenTheListIsDown) {
  world_["a-1"].is_dead = true;
  world_.Until(kSettled, [&] { return world_.NobodySees("a-1"); });
  world_.is_list_down = true;
  const Vm& vm = world_.Add("a-1", "north", "a", 2, "a-1:1");
  world_.Advance(base::Milliseconds(10));
  EXPECT_FALSE(vm.view()->is_settled);
  EXPECT_LT(world_.Until(kRejoinBound, [&] { return world_.AllAgree(); }),
            kRejoinBound);
}

TEST_P(MembershipControllerTest, LeavingIsAnnouncedAndSoIsTheEnd) {
  world_["b-2"].controller().Leave();
  world_.Advance(base::Milliseconds(200));
  EXPECT_TRUE(AllSeeLeaving("b-2"));
  world_["b-2"].controller().Stop();
  world_.Advance(base::Milliseconds(200));
  EXPECT_TRUE(world_.NobodySees("b-2"));
}

TEST_P(MembershipControllerTest, SilentLossIsFoundInTime) {
  world_["a-2"].is_dead = true;
  const auto own = world_.Until(kOtherDomainsBound,
                                [&] { return world_.NobodySees("a-2", "a"); });
  const auto rest = world_.Until(kOtherDomainsBound,
                                 [&] { return world_.NobodySees("a-2"); });
  EXPECT_LT(own, kOwnDomainBound);
  EXPECT_LT(own + rest, kOtherDomainsBound);
  EXPECT_TRUE(world_.AllAgree());
  EXPECT_TRUE(world_["a-0"].view()->absent.contains("a-2"));
}

TEST_P(MembershipControllerTest, ListedButSilentStaysGone) {
  world_["a-2"].is_dead = true;
  world_.Until(kSettled, [&] { return world_.NobodySees("a-2"); });
  for (int i = 0; i < 200; ++i) {
    world_.Advance(base::Milliseconds(100));
    ASSERT_TRUE(world_.NobodySees("a-2"));
  }
}

TEST_P(MembershipControllerTest, HeardButNotListedIsKept) {
  world_.listed.clear();
  world_.Advance(kRejoinBound);
  EXPECT_TRUE(world_.AllAgree());
}

TEST_P(MembershipControllerTest, ListedAsLeavingIsLeavingEverywhere) {
  world_.listed["b-1"].is_leaving = true;
  EXPECT_LT(
      world_.Until(kOtherDomainsBound, [&] { return AllSeeLeaving("b-1"); }),
      kOtherDomainsBound);
  world_.Advance(kSettled);
  EXPECT_TRUE(AllSeeLeaving("b-1")) << "it stays a member until it stops";
}

TEST_P(MembershipControllerTest, LaggingListDescribesThePreviousVm) {
  world_["b-1"].is_dead = true;
  world_.Add("b-1", "north", "b", 2);
  world_.listed["b-1"].address = "b-1:1";
  world_.listed["b-1"].is_leaving = true;
  world_.Advance(kRejoinBound);
  EXPECT_TRUE(world_.AllAgree());
}

TEST_P(MembershipControllerTest, ListOutageChangesNothing) {
  world_.is_list_down = true;
  world_.Advance(kRejoinBound);
  EXPECT_TRUE(world_.AllAgree());
  world_["c-1"].is_dead = true;
  EXPECT_LT(world_.Until(kOtherDomainsBound,
                         [&] { return world_.NobodySees("c-1"); }),
            kOtherDomainsBound);
}

TEST_P(MembershipControllerTest, OnlyDelegatesReadTheList) {
  world_.Advance(kSettled);
  const int before = world_.list_reads;
  world_.Advance(base::Milliseconds(20'000));
  // Three delegates in each of three domains, every two seconds.
  constexpr int kMaxReads = 9 * (10 + 1);
  EXPECT_LE(world_.list_reads - before, kMaxReads);
}

TEST_P(MembershipControllerTest, FrozenVmRejoinsBeforeItDeclaresOthersGone) {
  Vm& frozen = world_["a-3"];
  frozen.is_frozen = true;
  ASSERT_LT(world_.Until(kOtherDomainsBound,
                         [&] { return world_.NobodySees("a-3"); }),
            kOtherDomainsBound);
  world_.Advance(base::Milliseconds(60'000));
  frozen.is_frozen = false;
  bool was_unsettled = false;
  std::size_t fewest = kVmCount;
  const auto back = world_.Until(kSettled, [&] {
    was_unsettled = was_unsettled || !frozen.view()->is_settled;
    fewest = std::min(fewest, frozen.view()->members.size());
    return was_unsettled && world_.AllAgree();
  });
  EXPECT_LT(back, kOwnDomainBound);
  EXPECT_TRUE(was_unsettled);
  EXPECT_EQ(fewest, kVmCount) << "it declared others gone after the freeze";
}

TEST_P(MembershipControllerTest, ShortFreezeOfTheProberDeclaresNobodyGone) {
  for (int i = 0; i < 10; ++i) {
    world_["a-0"].is_frozen = true;
    world_.Advance(base::Milliseconds(600));
    world_["a-0"].is_frozen = false;
    for (int step = 0; step < 100; ++step) {
      world_.Advance(base::Milliseconds(10));
      ASSERT_EQ(world_["a-0"].view()->members.size(), kVmCount);
    }
  }
}

TEST_P(MembershipControllerTest, TheHigherOfTwoIncarnationsWins) {
  Vm& older = world_["a-4"];
  const Vm& newer = world_.Add("a-4", "north", "a", 2);
  EXPECT_LT(world_.Until(kSettled, [&] { return older.replaced_by == 2; }),
            kSettled);
  EXPECT_FALSE(older.view()->is_settled);
  EXPECT_EQ(newer.replaced_by, 0);
  older.is_dead = true;
  world_.Advance(kSettled);
  EXPECT_TRUE(world_.AllAgree());
  EXPECT_EQ(world_["c-0"].view()->members.at("a-4").incarnation, 2);
}

TEST_P(MembershipControllerTest, FrozenVmThatWasReplacedEndsMembership) {
  Vm& older = world_["a-4"];
  older.is_frozen = true;
  world_.Advance(kSettled);
  world_.Add("a-4", "north", "a", 2);
  world_.Advance(kSettled);
  older.is_frozen = false;
  EXPECT_LT(world_.Until(kSettled, [&] { return older.replaced_by == 2; }),
            kSettled);
  older.is_dead = true;
  EXPECT_TRUE(world_.AllAgree());
}

TEST_P(MembershipControllerTest, PartitionedRegionsMergeAgain) {
  world_.Cut("north", "south");
  EXPECT_LT(world_.Until(kSettled, [&] { return AllHave(10, 3); }), kSettled);
  world_.Advance(base::Milliseconds(60'000));
  EXPECT_TRUE(AllHave(10, 3));
  // Each side loses a VM, one VM joins, and a new targets revision is
  // activated.
  world_["a-0"].is_dead = true;
  world_["c-0"].is_dead = true;
  world_.Add("b-new", "north", "b");
  world_.Advance(base::Milliseconds(900'000));
  EXPECT_TRUE(AllHave(10, 2));
  world_["b-0"].SetTargets(9);
  world_["b-0"].seen_targets["b-0"] = 9;
  world_.Heal();
  EXPECT_LT(world_.Until(kRejoinBound, [&] { return DidAllTakeOver(9); }),
            kRejoinBound);
  EXPECT_LT(world_.Until(kRejoinBound, [&] { return world_.AllAgree(); }),
            kRejoinBound);
}

TEST_P(MembershipControllerTest, AWholeDomainIsLost) {
  for (const char* name : {"b-0", "b-1", "b-2", "b-3"}) {
    world_[name].is_dead = true;
  }
  EXPECT_LT(world_.Until(kSettled, [&] { return world_.AllAgree(); }),
            kSettled);
}

TEST_P(MembershipControllerTest, RevisionReachesAllAndTheViewShowsIt) {
  world_["c-2"].SetTargets(5);
  world_["c-2"].seen_targets["c-2"] = 5;
  EXPECT_LT(world_.Until(kOtherDomainsBound, [&] { return DidAllTakeOver(5); }),
            kOtherDomainsBound);
  const auto is_shown = [&] {
    const auto view = world_["a-0"].view();
    return std::all_of(
        view->members.begin(), view->members.end(),
        [](const auto& row) { return row.second.targets_revision == 5; });
  };
  EXPECT_LT(world_.Until(kRejoinBound, is_shown), kRejoinBound);
}

TEST_P(MembershipControllerTest, DrainingIsHeardOnceByAll) {
  world_["b-3"].controller().NoteDrainingUpstream("leaf-7");
  world_.Advance(base::Milliseconds(200));
  const std::vector<std::string> heard{"leaf-7"};
  for (const Vm* vm : world_.running()) {
    if (vm->name() != "b-3") {
      EXPECT_EQ(vm->heard_draining, heard) << vm->name();
    }
  }
  world_.Advance(base::Milliseconds(60'000));
  EXPECT_EQ(world_["a-0"].heard_draining, heard);
}

TEST_P(MembershipControllerTest, SecondDrainOfAnUpstreamIsHeardToo) {
  world_["b-3"].controller().NoteDrainingUpstream("leaf-7");
  world_.Advance(base::Milliseconds(11'000));
  world_["a-0"].controller().NoteDrainingUpstream("leaf-7");
  world_.Advance(base::Milliseconds(200));
  const std::vector<std::string> heard{"leaf-7", "leaf-7"};
  for (const Vm* vm : world_.running()) {
    if (vm->name() != "b-3" && vm->name() != "a-0") {
      EXPECT_EQ(vm->heard_draining, heard) << vm->name();
    }
  }
}

INSTANTIATE_TEST_SUITE_P(Seeds, MembershipControllerTest, testing::Range(1, 6));

}  // namespace
}  // namespace medlarspread::membership
