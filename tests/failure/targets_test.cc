// Tests of the guarantee that an accepted configuration is in force on all
// daemons within seconds and never reverts.

#include "tests/failure/failure_test.h"

namespace medlarspread::tests {
namespace {

class TargetsTest : public FailureTest {
 protected:
  // The targets must be in force on all daemons within this time.
  static constexpr std::chrono::milliseconds kEverywhereWithin{18000};

  bool AwaitEverywhere(int latency_ms) {
    return std::ranges::all_of(cluster_.daemons(), [&](const Daemon& daemon) {
      return WaitUntil(
          [&] { return cluster_.TargetsOf(daemon).latency_ms == latency_ms; },
          kEverywhereWithin);
    });
  }
};

TEST_F(TargetsTest, AcceptedChangeIsInForceEverywhere) {
  cluster_.StartSmall(3, {});
  const auto before = cluster_.TargetsOf(cluster_.daemons()[0]).revision;
  const auto response =
      cluster_.PutTargets(cluster_.daemons()[2], "change", 700, before);
  ASSERT_EQ(response.status, http::kOk) << response.body;
  EXPECT_TRUE(AwaitEverywhere(700));
}

TEST_F(TargetsTest, ChangeWhoseReplyWasLostIsMadeOnce) {
  cluster_.StartSmall(2, {});
  const auto before = cluster_.TargetsOf(cluster_.daemons()[0]).revision;
  cluster_.ControlPlatform("faults", R"({"lose_write_replies":1,)"
                                     R"("lost_reply":"error"})");
  cluster_.PutTargets(cluster_.daemons()[0], "change", 700, std::nullopt);
  cluster_.ControlPlatform("faults", R"({"lose_write_replies":0})");
  const auto again =
      cluster_.PutTargets(cluster_.daemons()[1], "change", 700, std::nullopt);
  EXPECT_EQ(again.status, http::kOk) << again.body;
  EXPECT_TRUE(AwaitEverywhere(700));
  EXPECT_EQ(cluster_.TargetsOf(cluster_.daemons()[0]).revision, before + 1);
}

TEST_F(TargetsTest, OneOfTwoRacingOperatorsWins) {
  cluster_.StartSmall(2, {});
  for (int round = 0; round < 5; ++round) {
    const auto before = cluster_.TargetsOf(cluster_.daemons()[0]).revision;
    const auto change = [&](int daemon, int latency_ms) {
      return cluster_.PutTargets(cluster_.daemons()[daemon],
                                 std::to_string(latency_ms), latency_ms,
                                 before);
    };
    auto first = std::async(std::launch::async, change, 0, 500 + round);
    auto second = std::async(std::launch::async, change, 1, 600 + round);
    const int first_status = first.get().status;
    const int second_status = second.get().status;
    EXPECT_EQ(std::min(first_status, second_status), http::kOk);
    EXPECT_EQ(std::max(first_status, second_status), http::kConflict);
    EXPECT_TRUE(
        AwaitEverywhere((first_status == http::kOk ? 500 : 600) + round));
  }
}

TEST_F(TargetsTest, OutageRevertsNothingAndAcceptsNothing) {
  cluster_.StartSmall(2, {});
  const auto before = cluster_.TargetsOf(cluster_.daemons()[0]);
  cluster_.ControlPlatform("faults", R"({"outage":"refuse"})");
  const auto response =
      cluster_.PutTargets(cluster_.daemons()[0], "change", 700, std::nullopt);
  EXPECT_TRUE(response.status == http::kServiceUnavailable ||
              response.status == http::kGatewayTimeout)
      << response.status << response.body;
  for (const Daemon& daemon : cluster_.daemons()) {
    EXPECT_EQ(cluster_.TargetsOf(daemon).revision, before.revision);
    EXPECT_TRUE(cluster_.AwaitFullAnswer(daemon));
  }
  cluster_.ControlPlatform("faults", R"({"outage":"none"})");
  const auto after =
      cluster_.PutTargets(cluster_.daemons()[0], "later", 800, std::nullopt);
  EXPECT_EQ(after.status, http::kOk) << after.body;
  EXPECT_TRUE(AwaitEverywhere(800));
}

TEST_F(TargetsTest, DaemonThatStartsDuringAnOutageLearnsFromPeers) {
  cluster_.StartSmall(2, {});
  cluster_.ControlPlatform("faults",
                           R"({"outage":"hang","outage_spares_vms":true})");
  const Daemon& late = cluster_.StartDaemon("vm-late");
  EXPECT_TRUE(cluster_.AwaitFullAnswer(late));
  EXPECT_EQ(cluster_.TargetsOf(late).revision,
            cluster_.TargetsOf(cluster_.daemons()[0]).revision);
  cluster_.ControlPlatform("faults", R"({"outage":"none"})");
}

TEST_F(TargetsTest, FrozenDaemonCatchesUp) {
  cluster_.StartSmall(3, {});
  const Daemon& frozen = cluster_.daemons()[1];
  frozen.process->Signal(SIGSTOP);
  const auto response =
      cluster_.PutTargets(cluster_.daemons()[0], "change", 700, std::nullopt);
  EXPECT_EQ(response.status, http::kOk) << response.body;
  frozen.process->Signal(SIGCONT);
  EXPECT_TRUE(AwaitEverywhere(700));
}

TEST_F(TargetsTest, RestoredStoreRevertsNothing) {
  // A number that occurs nowhere else in the store.
  constexpr int kNewer = 7351;
  cluster_.StartSmall(2, {});
  cluster_.ControlPlatform("checkpoint", "");
  ASSERT_EQ(
      cluster_.PutTargets(cluster_.daemons()[0], "a", kNewer, std::nullopt)
          .status,
      http::kOk);
  ASSERT_TRUE(AwaitEverywhere(kNewer));
  const auto before = cluster_.TargetsOf(cluster_.daemons()[0]).revision;
  // The outage ends the watches, so that the daemons read the old record
  // afterwards.
  cluster_.ControlPlatform("faults", R"({"outage":"refuse"})");
  cluster_.ControlPlatform("restore", R"({"repeats_versions":true})");
  cluster_.ControlPlatform("faults", R"({"outage":"none"})");
  // A daemon that starts now must not apply the old targets either.
  cluster_.StartDaemon("vm-late");
  ASSERT_TRUE(cluster_.AwaitFullAnswer(cluster_.daemons().back()));
  // The store holds the new targets again once a daemon has read the old record
  // and corrected it.
  EXPECT_TRUE(WaitUntil([&] {
    for (const Daemon& daemon : cluster_.daemons()) {
      EXPECT_GE(cluster_.TargetsOf(daemon).revision, before) << daemon.name;
      EXPECT_EQ(cluster_.TargetsOf(daemon).latency_ms, kNewer) << daemon.name;
    }
    return HasFailure() || cluster_.StoreContents().find(
                               std::to_string(kNewer)) != std::string::npos;
  }));
  const auto changed =
      cluster_.PutTargets(cluster_.daemons()[1], "b", 800, std::nullopt);
  EXPECT_EQ(changed.status, http::kOk) << changed.body;
  EXPECT_TRUE(AwaitEverywhere(800));
  EXPECT_GT(cluster_.TargetsOf(cluster_.daemons()[0]).revision, before);
}

}  // namespace
}  // namespace medlarspread::tests
