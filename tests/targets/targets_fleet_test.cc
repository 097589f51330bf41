// Tests several daemons: changes come into force on all of them, restored
// stores do not revert them, and starting daemons learn targets from their
// peers.

#include <algorithm>

#include <gtest/gtest.h>

#include "tests/targets/fake_fleet.h"

namespace medlarspread::targets {
namespace {

constexpr std::uint64_t kSeed = 77;
constexpr base::Duration kSettle = base::Milliseconds(5000);

class TargetsFleetTest : public testing::Test {
 protected:
  TargetsFleetTest() {
    for (const char* name : {"a", "b", "c", "d", "e"}) {
      fleet_.Start(name);
    }
    fleet_.Advance(kSettle);
  }
  ~TargetsFleetTest() override { EXPECT_EQ(fleet_.violation(), ""); }

  std::int64_t Accept(const std::string& name, const TargetsChange& change) {
    const ChangeOutcome outcome = fleet_.ChangeAndWait(name, change);
    const auto* accepted = std::get_if<ChangeAccepted>(&outcome);
    EXPECT_NE(accepted, nullptr) << "outcome " << outcome.index();
    return accepted == nullptr ? -1 : accepted->revision;
  }
  void SetFault(StoreFault fault) {
    fleet_.store().choose_fault = [fault](bool) { return fault; };
  }
  bool HasAnyAlarm(bool (*is_raised)(const TargetsAlarms&)) {
    const auto& daemons = fleet_.daemons();
    return std::any_of(daemons.begin(), daemons.end(), [&](const auto& row) {
      return is_raised(row.second->controller->alarms());
    });
  }

  FakeFleet fleet_{kSeed};
};

bool HasReverted(const TargetsAlarms& alarms) {
  return alarms.reverts_kept_out > 0;
}
bool HasConflict(const TargetsAlarms& alarms) {
  return !alarms.digest_conflict_with.empty();
}

TEST_F(TargetsFleetTest, ChangeIsInForceEverywhereWithinSeconds) {
  EXPECT_EQ(Accept("d", MakeChange("c1", "counter", 50)), 1);
  fleet_.Advance(kSettle);
  EXPECT_TRUE(fleet_.IsInForceEverywhere(1));
}

TEST_F(TargetsFleetTest, OnlyTheSetNumberOfDaemonsReadTheStore) {
  const int before = fleet_.store().reads() + fleet_.store().watches();
  fleet_.Advance(base::Milliseconds(150000));
  const int calls = fleet_.store().reads() + fleet_.store().watches() - before;
  // Two readers of five daemons, each with one read and one watch in 15 s.
  EXPECT_LE(calls, 44);
  EXPECT_GE(calls, 20);
}

TEST_F(TargetsFleetTest, AnotherDaemonReadsWhenTheReadersAreGone) {
  for (const char* name : {"a", "b", "c", "d"}) {
    fleet_.Kill(name);
  }
  fleet_.Advance(kSettle);
  const int before = fleet_.store().reads() + fleet_.store().watches();
  fleet_.Advance(base::Milliseconds(31000));
  EXPECT_GT(fleet_.store().reads() + fleet_.store().watches(), before);
}

TEST_F(TargetsFleetTest, ChangeSpreadsWhileTheStoreIsDown) {
  EXPECT_EQ(Accept("d", MakeChange("c1", "counter", 50)), 1);
  SetFault(StoreFault::kDown);
  fleet_.Advance(kSettle);
  EXPECT_TRUE(fleet_.IsInForceEverywhere(1));
}

TEST_F(TargetsFleetTest, StartingDaemonLearnsFromPeersWhileTheStoreIsDown) {
  EXPECT_EQ(Accept("a", MakeChange("c1", "counter", 50)), 1);
  fleet_.Advance(kSettle);
  SetFault(StoreFault::kDown);
  FakeDaemon& late = fleet_.Start("f");
  EXPECT_FALSE(late.controller->is_ready());
  fleet_.Advance(kSettle);
  EXPECT_TRUE(late.controller->is_ready());
  EXPECT_EQ(late.revision(), 1);
}

TEST_F(TargetsFleetTest, StartingDaemonLearnsOfAnEmptyArchiveFromPeers) {
  SetFault(StoreFault::kDown);
  FakeDaemon& late = fleet_.Start("f");
  fleet_.Advance(kSettle);
  EXPECT_TRUE(late.controller->is_ready());
}

TEST_F(TargetsFleetTest, DaemonAloneWithoutStoreIsNotReady) {
  SetFault(StoreFault::kDown);
  fleet_.cut.insert("f");
  FakeDaemon& late = fleet_.Start("f");
  fleet_.Advance(base::Milliseconds(30000));
  EXPECT_FALSE(late.controller->is_ready());
  const auto outcome =
      fleet_.ChangeAndWait("f", MakeChange("c1", "counter", 50));
  EXPECT_TRUE(std::holds_alternative<ChangeRefused>(outcome));
  fleet_.cut.clear();
  fleet_.Advance(kSettle);
  EXPECT_TRUE(late.controller->is_ready());
}

TEST_F(TargetsFleetTest, StartingDaemonIsNotReadyOnARevertedStore) {
  EXPECT_EQ(Accept("a", MakeChange("c1", "counter", 50)), 1);
  const auto old = fleet_.store().Get(kTargetsKey);
  EXPECT_EQ(Accept("a", MakeChange("c2", "counter", 60)), 2);
  fleet_.Advance(kSettle);
  fleet_.store().Restore(kTargetsKey, old, false);
  FakeDaemon& late = fleet_.Start("f");
  while (!late.controller->is_ready()) {
    fleet_.Advance(base::Milliseconds(10));
  }
  EXPECT_EQ(late.revision(), 2);
}

class TargetsRestoreTest : public TargetsFleetTest,
                           public testing::WithParamInterface<bool> {
 protected:
  // Puts three changes in force everywhere, then restores the store to the
  // first.
  void RestoreFirst() {
    EXPECT_EQ(Accept("a", MakeChange("c1", "counter", 50)), 1);
    const auto old = fleet_.store().Get(kTargetsKey);
    EXPECT_EQ(Accept("b", MakeChange("c2", "portal", 60)), 2);
    EXPECT_EQ(Accept("c", MakeChange("c3", "audit", 70)), 3);
    fleet_.Advance(kSettle);
    fleet_.store().Restore(kTargetsKey, old, GetParam());
  }
};

INSTANTIATE_TEST_SUITE_P(VersionGoesBack, TargetsRestoreTest, testing::Bool());

TEST_P(TargetsRestoreTest, RestoredStoreIsKeptOutReportedAndRepaired) {
  RestoreFirst();
  fleet_.Advance(base::Milliseconds(25000));
  EXPECT_TRUE(fleet_.IsInForceEverywhere(3));
  EXPECT_TRUE(HasAnyAlarm(HasReverted));
  const auto record = DecodeRecord(fleet_.store().Get(kTargetsKey)->value);
  EXPECT_EQ(record.value().revision, 3);
}

TEST_P(TargetsRestoreTest, NextChangeIsMadeOnWhatTheDaemonsHold) {
  RestoreFirst();
  EXPECT_EQ(Accept("d", MakeChange("c4", "counter", 80)), 4);
  fleet_.Advance(kSettle);
  EXPECT_TRUE(fleet_.IsInForceEverywhere(4));
  EXPECT_EQ(fleet_.daemon("e").blackboard.targets.Read()->classes.size(), 3U);
  // A change accepted before the restore is still recognized.
  EXPECT_EQ(Accept("e", MakeChange("c2", "portal", 60)), 2);
}

TEST_P(TargetsRestoreTest, EmptiedStoreIsRepaired) {
  RestoreFirst();
  fleet_.store().Restore(kTargetsKey, std::nullopt, false);
  fleet_.Advance(base::Milliseconds(25000));
  EXPECT_TRUE(fleet_.IsInForceEverywhere(3));
  ASSERT_TRUE(fleet_.store().Get(kTargetsKey).has_value());
  EXPECT_TRUE(HasAnyAlarm(HasReverted));
}

TEST_F(TargetsFleetTest, ChangeOnADaemonThatLagsIsMadeOnWhatOthersHold) {
  EXPECT_EQ(Accept("a", MakeChange("c1", "counter", 50)), 1);
  fleet_.Advance(kSettle);
  // The other daemons are two revisions ahead of the restored store.
  TargetsRecord record =
      DecodeRecord(fleet_.store().Get(kTargetsKey)->value).value();
  record = ApplyChange(record, MakeChange("c2", "portal", 60), 0);
  record = ApplyChange(record, MakeChange("c3", "audit", 70), 0);
  peer::wire::TargetsBody body;
  body.revision = record.revision;
  body.body = EncodeRecord(record);
  for (const char* name : {"a", "b", "c", "d"}) {
    fleet_.daemon(name).controller->DidReceive({"x", 1}, body);
  }
  fleet_.daemon("e").controller->DidSeeRevision("a", record.revision,
                                                DigestBody(body.body));
  EXPECT_EQ(Accept("e", MakeChange("c4", "counter", 80)), 4);
  EXPECT_EQ(fleet_.daemon("e").blackboard.targets.Read()->classes.size(), 3U);
  fleet_.Advance(kSettle);
  EXPECT_TRUE(fleet_.IsInForceEverywhere(4));
}

TEST_F(TargetsFleetTest, OtherTargetsUnderOneRevisionAreAnAlarm) {
  EXPECT_EQ(Accept("a", MakeChange("c1", "counter", 50)), 1);
  fleet_.Advance(kSettle);
  EXPECT_FALSE(HasAnyAlarm(HasConflict));
  const std::string other =
      EncodeRecord(ApplyChange({}, MakeChange("other", "counter", 99), 0));
  fleet_.store().Restore(kTargetsKey, store::Entry{kTargetsKey, other, 0},
                         false);
  fleet_.Advance(kSettle);
  EXPECT_TRUE(HasAnyAlarm(HasConflict));
  EXPECT_TRUE(fleet_.IsInForceEverywhere(1));
  // The next change clears the alarm.
  EXPECT_EQ(Accept("b", MakeChange("c2", "portal", 60)), 2);
  fleet_.Advance(kSettle);
  EXPECT_FALSE(HasAnyAlarm(HasConflict));
  EXPECT_TRUE(fleet_.IsInForceEverywhere(2));
}

TEST_F(TargetsFleetTest, RevisionsStayAboveThoseOfDaemonsThatAreGone) {
  fleet_.daemon("a").controller->DidSeeRevision("gone", 41, 5);
  EXPECT_EQ(Accept("a", MakeChange("c1", "counter", 50)), 42);
}

TEST_F(TargetsFleetTest, MalformedBodyFromAPeerIsKeptOut) {
  EXPECT_EQ(Accept("a", MakeChange("c1", "counter", 50)), 1);
  peer::wire::TargetsBody body;
  body.revision = 9;
  body.body = "{\"format\":1,\"revision\":9}";
  fleet_.daemon("a").controller->DidReceive({"b", 1}, body);
  fleet_.Advance(kSettle);
  EXPECT_TRUE(fleet_.IsInForceEverywhere(1));
}

}  // namespace
}  // namespace medlarspread::targets
