// Tests one daemon with a failing store: reads, watches, readiness, alarms and
// every outcome of a single change.

#include "src/targets/targets_controller.h"

#include <gtest/gtest.h>

#include "src/targets/held_targets.h"
#include "tests/targets/fake_fleet.h"

namespace medlarspread::targets {
namespace {

constexpr std::uint64_t kSeed = 20261202;
constexpr base::Duration kSettle = base::Milliseconds(4000);

class TargetsControllerTest : public testing::Test {
 protected:
  TargetsControllerTest() {
    fleet_.Start("a");
    fleet_.Advance(kSettle);
  }
  ~TargetsControllerTest() override { EXPECT_EQ(fleet_.violation(), ""); }

  FakeDaemon& daemon() { return fleet_.daemon("a"); }

  std::int64_t Accept(const TargetsChange& change) {
    const ChangeOutcome outcome = fleet_.ChangeAndWait("a", change);
    const auto* accepted = std::get_if<ChangeAccepted>(&outcome);
    EXPECT_NE(accepted, nullptr) << "outcome " << outcome.index();
    return accepted == nullptr ? -1 : accepted->revision;
  }

  // All calls fail with `fault` until ClearFault().
  void SetFault(StoreFault fault) {
    fleet_.store().choose_fault = [fault](bool) { return fault; };
  }
  // The next write fails with `fault`.
  void FailNextWrite(StoreFault fault) {
    fleet_.store().choose_fault = [this, fault](bool is_write) {
      if (!is_write) {
        return StoreFault::kNone;
      }
      ClearFault();
      return fault;
    };
  }
  void ClearFault() {
    // NOTE: replaced later, because it may be running now.
    fleet_.scheduler().Add(fleet_.scheduler().Now(),
                           [this] { fleet_.store().choose_fault = nullptr; });
  }

  // Makes another operator's change directly in the store.
  void WriteBehind(const TargetsChange& change) {
    const auto entry = fleet_.store().Get(kTargetsKey);
    const TargetsRecord base =
        entry ? DecodeRecord(entry->value).value() : TargetsRecord();
    store::Entry next{kTargetsKey, EncodeRecord(ApplyChange(base, change, 0)),
                      0};
    fleet_.store().Restore(kTargetsKey, next, false);
  }

  FakeFleet fleet_{kSeed};
};

TEST_F(TargetsControllerTest, EmptyStoreCountsAsKnownTargets) {
  EXPECT_TRUE(daemon().controller->is_ready());
  EXPECT_EQ(daemon().revision(), 0);
  EXPECT_EQ(daemon().blackboard.targets.Read()->digest, EmptyDigest());
}

TEST_F(TargetsControllerTest, AcceptedChangeIsStoredAndInForce) {
  EXPECT_EQ(Accept(MakeChange("c1", "counter", 50)), 1);
  EXPECT_EQ(daemon().revision(), 1);
  const auto view = daemon().blackboard.targets.Read();
  EXPECT_EQ(view->classes.at("counter").latency, base::Milliseconds(50));
  EXPECT_EQ(view->digest, DigestBody(fleet_.store().Get(kTargetsKey)->value));
  EXPECT_EQ(Accept({"c2", {}, RemoveClass{"counter"}}), 2);
  EXPECT_TRUE(daemon().blackboard.targets.Read()->classes.empty());
}

TEST_F(TargetsControllerTest, ChangeSubmittedAgainIsMadeOnce) {
  EXPECT_EQ(Accept(MakeChange("c1", "counter", 50)), 1);
  EXPECT_EQ(Accept(MakeChange("c2", "counter", 60)), 2);
  EXPECT_EQ(Accept(MakeChange("c1", "counter", 50)), 1);
  EXPECT_EQ(daemon().revision(), 2);
  const auto reused =
      fleet_.ChangeAndWait("a", MakeChange("c1", "counter", 70));
  ASSERT_TRUE(std::holds_alternative<ChangeInvalid>(reused));
  EXPECT_EQ(std::get<ChangeInvalid>(reused).field, "change_id");
}

TEST_F(TargetsControllerTest, InvalidChangesAreNotMade) {
  auto outcome = fleet_.ChangeAndWait("a", MakeChange("c1", "counter", 0));
  ASSERT_TRUE(std::holds_alternative<ChangeInvalid>(outcome));
  EXPECT_EQ(std::get<ChangeInvalid>(outcome).field, "latency_ms");
  outcome = fleet_.ChangeAndWait("a", MakeChange("", "counter", 5));
  EXPECT_EQ(std::get<ChangeInvalid>(outcome).field, "change_id");
  outcome = fleet_.ChangeAndWait("a", {"c2", {}, RemoveClass{"counter"}});
  EXPECT_TRUE(std::holds_alternative<ChangeNotFound>(outcome));
  EXPECT_EQ(fleet_.store().writes(), 0);
}

TEST_F(TargetsControllerTest, WatchBringsAnothersChangeIntoForce) {
  fleet_.Advance(base::Milliseconds(500));
  WriteBehind(MakeChange("other", "counter", 50));
  fleet_.Advance(base::Milliseconds(500));
  EXPECT_EQ(daemon().revision(), 1);
}

TEST_F(TargetsControllerTest, IdleReaderMakesFewCalls) {
  const int before = fleet_.store().reads() + fleet_.store().watches();
  fleet_.Advance(base::Milliseconds(150000));
  const int calls = fleet_.store().reads() + fleet_.store().watches() - before;
  // One read and one watch each 15 s.
  EXPECT_LE(calls, 22);
  EXPECT_GE(calls, 10);
}

TEST_F(TargetsControllerTest, LostReplyIsFoundByReadingBack) {
  FailNextWrite(StoreFault::kLostReply);
  EXPECT_EQ(Accept(MakeChange("c1", "counter", 50)), 1);
  EXPECT_EQ(fleet_.store().writes(), 1);
  EXPECT_EQ(daemon().revision(), 1);
}

TEST_F(TargetsControllerTest, LostWriteIsMadeAgain) {
  FailNextWrite(StoreFault::kSilent);
  EXPECT_EQ(Accept(MakeChange("c1", "counter", 50)), 1);
  EXPECT_EQ(fleet_.store().writes(), 2);
}

TEST_F(TargetsControllerTest, LateWriteIsNotMadeTwice) {
  FailNextWrite(StoreFault::kLate);
  EXPECT_EQ(Accept(MakeChange("c1", "counter", 50)), 1);
  fleet_.Advance(fleet_.store().late_by);
  EXPECT_EQ(daemon().revision(), 1);
  const auto record = DecodeRecord(fleet_.store().Get(kTargetsKey)->value);
  EXPECT_EQ(record.value().changes.size(), 1U);
}

TEST_F(TargetsControllerTest, OutageRefusesAtOnceAndSaysWhenToComeBack) {
  SetFault(StoreFault::kDown);
  const auto start = fleet_.scheduler().Now();
  const auto outcome =
      fleet_.ChangeAndWait("a", MakeChange("c1", "counter", 50));
  ASSERT_TRUE(std::holds_alternative<ChangeRefused>(outcome));
  EXPECT_GT(std::get<ChangeRefused>(outcome).retry_after, base::Duration(0));
  EXPECT_LT(fleet_.scheduler().Now() - start, base::Milliseconds(100));
  fleet_.store().choose_fault = nullptr;
  fleet_.Advance(kSettle);
  EXPECT_FALSE(fleet_.store().Get(kTargetsKey).has_value());
}

TEST_F(TargetsControllerTest, OutageAfterTheWriteIsUnknownNeverAccepted) {
  bool has_written = false;
  fleet_.store().choose_fault = [&has_written](bool is_write) {
    if (has_written) {
      return StoreFault::kDown;
    }
    has_written = is_write;
    return is_write ? StoreFault::kLostReply : StoreFault::kNone;
  };
  const auto outcome =
      fleet_.ChangeAndWait("a", MakeChange("c1", "counter", 50));
  EXPECT_TRUE(std::holds_alternative<ChangeUnknown>(outcome));
  fleet_.store().choose_fault = nullptr;
  fleet_.Advance(base::Milliseconds(10000));
  // The write did take effect; the operator learns this by submitting it again.
  EXPECT_EQ(daemon().revision(), 1);
  EXPECT_EQ(Accept(MakeChange("c1", "counter", 50)), 1);
}

TEST_F(TargetsControllerTest, LateWriteFollowedByAnOutageIsNeverRefused) {
  // The first write takes effect late, when the store is already down, so that
  // no read has shown its outcome.
  bool has_written = false;
  fleet_.store().choose_fault = [&has_written](bool is_write) {
    if (!is_write) {
      return StoreFault::kNone;
    }
    return std::exchange(has_written, true) ? StoreFault::kDown
                                            : StoreFault::kLate;
  };
  fleet_.store().late_by = base::Milliseconds(8000);
  const auto outcome =
      fleet_.ChangeAndWait("a", MakeChange("c1", "counter", 50));
  EXPECT_TRUE(std::holds_alternative<ChangeUnknown>(outcome))
      << outcome.index();
  fleet_.Advance(base::Milliseconds(10000));
  EXPECT_EQ(daemon().revision(), 1);
}

// A record five revisions later, as a peer may have after the store was
// restored to `base`.
std::string MakePeersBody(TargetsRecord base) {
  for (int i = 0; i < 5; ++i) {
    base =
        ApplyChange(base, MakeChange("p" + std::to_string(i), "peers", 7), 0);
  }
  return EncodeRecord(base);
}

TEST_F(TargetsControllerTest, WriteOvertakenByAPeersTargetsIsMadeAgain) {
  EXPECT_EQ(Accept(MakeChange("c1", "counter", 50)), 1);
  peer::wire::TargetsBody body;
  body.revision = 6;
  body.body = MakePeersBody(
      DecodeRecord(fleet_.store().Get(kTargetsKey)->value).value());
  fleet_.store().before_next_write = [this, body] {
    daemon().controller->DidReceive({"b", 1}, body);
  };
  EXPECT_EQ(Accept(MakeChange("c2", "portal", 60)), 7);
  EXPECT_EQ(daemon().blackboard.targets.Read()->classes.size(), 3U);
  const auto record = DecodeRecord(fleet_.store().Get(kTargetsKey)->value);
  EXPECT_EQ(record.value().revision, 7);
}

TEST_F(TargetsControllerTest, MarkOnARevertedLineIsNotTakenForAccepted) {
  EXPECT_EQ(Accept(MakeChange("c1", "counter", 50)), 1);
  peer::wire::TargetsBody body;
  body.revision = 6;
  body.body = MakePeersBody(
      DecodeRecord(fleet_.store().Get(kTargetsKey)->value).value());
  daemon().controller->DidReceive({"b", 1}, body);
  // Another daemon wrote the change over the restored record.
  WriteBehind(MakeChange("c2", "portal", 60));
  EXPECT_EQ(Accept(MakeChange("c2", "portal", 60)), 7);
}

TEST_F(TargetsControllerTest, MarkThatFellOffTheListIsStillAcceptedIfStored) {
  EXPECT_EQ(Accept(MakeChange("c1", "counter", 50)), 1);
  const auto old = fleet_.store().Get(kTargetsKey);
  for (std::size_t i = 0; i < kMaxChangeMarks; ++i) {
    Accept(MakeChange("n" + std::to_string(i), "portal", 60));
  }
  fleet_.store().Restore(kTargetsKey, old, false);
  EXPECT_EQ(Accept(MakeChange("c1", "counter", 50)), 1);
}

TEST_F(TargetsControllerTest, RacingOperatorWithStatedRevisionLoses) {
  EXPECT_EQ(Accept(MakeChange("c1", "counter", 50)), 1);
  fleet_.store().before_next_write = [this] {
    WriteBehind(MakeChange("winner", "portal", 80));
  };
  const auto outcome =
      fleet_.ChangeAndWait("a", MakeChange("c2", "counter", 60, 1));
  ASSERT_TRUE(std::holds_alternative<ChangeLost>(outcome));
  EXPECT_EQ(std::get<ChangeLost>(outcome).revision, 2);
  EXPECT_EQ(std::get<ChangeLost>(outcome).winner_change_id, "winner");
}

TEST_F(TargetsControllerTest, RacingOperatorsOfOtherClassesBothWin) {
  fleet_.store().before_next_write = [this] {
    WriteBehind(MakeChange("winner", "portal", 80));
  };
  EXPECT_EQ(Accept(MakeChange("c1", "counter", 60)), 2);
  EXPECT_EQ(daemon().blackboard.targets.Read()->classes.size(), 2U);
}

TEST_F(TargetsControllerTest, RacingOperatorOfTheSameClassLoses) {
  fleet_.store().before_next_write = [this] {
    WriteBehind(MakeChange("winner", "counter", 80));
  };
  const auto outcome =
      fleet_.ChangeAndWait("a", MakeChange("c1", "counter", 60));
  ASSERT_TRUE(std::holds_alternative<ChangeLost>(outcome));
  EXPECT_EQ(std::get<ChangeLost>(outcome).revision, 1);
  EXPECT_EQ(std::get<ChangeLost>(outcome).winner_change_id, "winner");
}

TEST_F(TargetsControllerTest, TooManyChangesAtOnceAreRefused) {
  SetFault(StoreFault::kSilent);
  std::vector<std::shared_ptr<std::optional<ChangeOutcome>>> outcomes;
  for (int i = 0; i <= TargetsSettings().max_changes; ++i) {
    outcomes.push_back(
        fleet_.Change("a", MakeChange("c" + std::to_string(i), "x", 5)));
  }
  fleet_.Advance(base::Milliseconds(10));
  ASSERT_TRUE(outcomes.back()->has_value());
  EXPECT_EQ(std::get<ChangeRefused>(**outcomes.back()).error.code,
            base::ErrorCode::kOverloaded);
  EXPECT_FALSE(outcomes.front()->has_value());
  fleet_.store().choose_fault = nullptr;
}

TEST_F(TargetsControllerTest, ChangeIsRefusedWhileMembershipIsNotSettled) {
  // As after a pause of the VM: its peers and their revisions are unknown.
  daemon().blackboard.membership.Write({});
  const auto outcome =
      fleet_.ChangeAndWait("a", MakeChange("c1", "counter", 50));
  ASSERT_TRUE(std::holds_alternative<ChangeRefused>(outcome));
  EXPECT_EQ(fleet_.store().writes(), 0);
}

TEST_F(TargetsControllerTest, StoppedDaemonRefusesChanges) {
  daemon().controller->Stop();
  const auto outcome =
      fleet_.ChangeAndWait("a", MakeChange("c1", "counter", 50));
  ASSERT_TRUE(std::holds_alternative<ChangeRefused>(outcome));
  EXPECT_EQ(std::get<ChangeRefused>(outcome).error.code,
            base::ErrorCode::kStopping);
}

TEST_F(TargetsControllerTest, MalformedRecordIsAnAlarmAndKeptOut) {
  EXPECT_EQ(Accept(MakeChange("c1", "counter", 50)), 1);
  const auto good = fleet_.store().Get(kTargetsKey);
  fleet_.store().Restore(kTargetsKey, store::Entry{kTargetsKey, "{", 0}, false);
  fleet_.Advance(kSettle);
  EXPECT_EQ(daemon().revision(), 1);
  EXPECT_NE(daemon().controller->alarms().malformed_record, "");
  const auto outcome =
      fleet_.ChangeAndWait("a", MakeChange("c2", "counter", 60));
  EXPECT_TRUE(std::holds_alternative<ChangeRefused>(outcome));
  fleet_.store().Restore(kTargetsKey, good, false);
  fleet_.Advance(kSettle);
  EXPECT_EQ(daemon().controller->alarms().malformed_record, "");
}

TEST_F(TargetsControllerTest, StoreFailureIsAnAlarmUntilItPasses) {
  SetFault(StoreFault::kDown);
  fleet_.Advance(base::Milliseconds(40000));
  EXPECT_NE(daemon().controller->alarms().store_failure, "");
  fleet_.store().choose_fault = nullptr;
  fleet_.Advance(base::Milliseconds(10000));
  EXPECT_EQ(daemon().controller->alarms().store_failure, "");
}

class HeldTargetsTest : public testing::Test {
 protected:
  static store::Entry MakeEntry(int changes) {
    TargetsRecord record;
    for (int i = 0; i < changes; ++i) {
      record = ApplyChange(
          record, MakeChange("c" + std::to_string(i), "counter", 5), 0);
    }
    return {kTargetsKey, EncodeRecord(record), changes};
  }

  blackboard::Blackboard blackboard_;
  HeldTargets held_{base::Clock(std::make_shared<base::ManualTime>(1, 1)),
                    blackboard_, base::Log()};
};

TEST_F(HeldTargetsTest, ReadOvertakenByAChangeIsNoRevert) {
  EXPECT_EQ(held_.DidReadStore(MakeEntry(2), 0), OfferOutcome::kApplied);
  EXPECT_EQ(held_.Offer(MakeEntry(3).value, "b"), OfferOutcome::kApplied);
  // Requested at revision 2, answered after 3 came into force.
  EXPECT_EQ(held_.DidReadStore(MakeEntry(2), 2), OfferOutcome::kStale);
  EXPECT_EQ(held_.alarms(), TargetsAlarms());
  EXPECT_EQ(held_.revision(), 3);
}

TEST_F(HeldTargetsTest, LowerRevisionIsAnAlarmUntilItIsGone) {
  EXPECT_EQ(held_.DidReadStore(MakeEntry(3), 0), OfferOutcome::kApplied);
  EXPECT_EQ(held_.DidReadStore(MakeEntry(2), 3), OfferOutcome::kLower);
  EXPECT_EQ(held_.alarms().reverted_store_revision, 2);
  EXPECT_EQ(held_.DidReadStore(std::nullopt, 3), OfferOutcome::kLower);
  EXPECT_EQ(held_.alarms().reverted_store_revision, 0);
  EXPECT_EQ(held_.DidReadStore(MakeEntry(3), 3), OfferOutcome::kSame);
  EXPECT_FALSE(held_.alarms().reverted_store_revision.has_value());
  EXPECT_EQ(held_.alarms().reverts_kept_out, 2);
  EXPECT_EQ(held_.revision(), 3);
}

}  // namespace
}  // namespace medlarspread::targets
