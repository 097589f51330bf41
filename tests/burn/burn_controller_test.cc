// Checks the report of a small fleet against a known history of requests, under
// failures of VMs and of the store.

#include "src/burn/burn_controller.h"

#include <gtest/gtest.h>

#include "src/burn/report_format.h"
#include "tests/burn/burn_fleet.h"

namespace medlarspread::burn {
namespace {

constexpr std::uint64_t kSeed = 7;

RequestRecord Answered(const std::string& class_name,
                       std::int64_t latency_ms,
                       double coverage = 1.0) {
  RequestRecord record;
  record.class_name = class_name;
  record.targets_revision = 1;
  record.latency_target = base::Milliseconds(91);
  record.coverage_target = 0.98;
  record.latency_percentile = 99.0;
  record.coverage_percentile = 99.0;
  record.outcome = RequestOutcome::kAnswered;
  record.latency = base::Milliseconds(latency_ms);
  record.coverage = coverage;
  record.shard_answers = 200;
  record.upstream_sends = 203;
  return record;
}

RequestRecord NotAnswered(const std::string& class_name,
                          RequestOutcome outcome) {
  RequestRecord record = Answered(class_name, 0);
  record.outcome = outcome;
  record.shard_answers = 0;
  record.upstream_sends = 0;
  return record;
}

class BurnControllerTest : public testing::Test {
 protected:
  // Sends one request per second to `vm`; every fifth is late, every seventh
  // has low coverage.
  void RunTraffic(const std::string& vm, int seconds) {
    for (int second = 0; second < seconds; ++second) {
      fleet_.Record(vm, Answered("counter-lookup", second % 5 == 0 ? 95 : 30,
                                 second % 7 == 0 ? 0.5 : 0.99));
      fleet_.Advance(1);
    }
  }

  // Returns how many keys in the store have this prefix and suffix.
  int KeysMatching(const std::string& prefix, const std::string& suffix) {
    int count = 0;
    for (const auto& [key, entry] : fleet_.store().entries()) {
      count += key.starts_with(prefix) && key.ends_with(suffix) ? 1 : 0;
    }
    return count;
  }

  BurnFleet fleet_{kSeed};
};

TEST_F(BurnControllerTest, AddsUpAllVmsAndOutcomes) {
  fleet_.StartVm("entry-1");
  fleet_.StartVm("entry-2");
  fleet_.Record("entry-1", Answered("counter-lookup", 91, 0.98));
  fleet_.Record("entry-1", Answered("counter-lookup", 92, 0.97));
  fleet_.Record("entry-2", Answered("partner-sync", 20));
  fleet_.Record("entry-2",
                NotAnswered("counter-lookup", RequestOutcome::kRefused));
  fleet_.Record("entry-2",
                NotAnswered("counter-lookup", RequestOutcome::kUnknown));
  fleet_.Advance(80);
  const BurnReport report = fleet_.ReportFrom("entry-1");
  ExpectExact(report, fleet_.recorded());
  EXPECT_FALSE(report.is_partial);
  ASSERT_EQ(report.classes.size(), 2U);
  const WindowReport& hour = report.classes[0].windows[1];
  EXPECT_EQ(hour.counts.asked, 4);
  EXPECT_EQ(hour.latency.good, 1);
  EXPECT_EQ(hour.latency.verdict, Verdict::kMissed);
  EXPECT_DOUBLE_EQ(*hour.latency.burn_rate, 75.0);
  EXPECT_NEAR(*hour.extra_load, 0.015, 1e-9);
}

TEST_F(BurnControllerTest, LostRepliesCountNothingTwice) {
  fleet_.StartVm("entry-1");
  fleet_.StartVm("entry-2");
  for (int round = 0; round < 20; ++round) {
    fleet_.store().LoseReplies(1);
    RunTraffic("entry-1", 30);
    fleet_.store().LoseWrites(1);
    RunTraffic("entry-1", 30);
  }
  fleet_.Advance(80);
  ExpectExact(fleet_.ReportFrom("entry-2"), fleet_.recorded());
}

TEST_F(BurnControllerTest, DeadVmLeavesUnaccountedTimeAndNothingGood) {
  fleet_.StartVm("entry-1");
  fleet_.StartVm("entry-2");
  RunTraffic("entry-2", 200);
  fleet_.KillVm("entry-2");
  fleet_.Advance(300);
  const auto lost = fleet_.Lost();
  const BurnReport report = fleet_.ReportFrom("entry-1");
  ExpectExact(report, fleet_.Kept());
  ASSERT_FALSE(lost.empty());
  const WindowReport& hour = report.classes[0].windows[1];
  EXPECT_GE(hour.unaccounted.requests_estimate,
            static_cast<std::int64_t>(lost.size()));
  EXPECT_GT(hour.unaccounted.vm_milliseconds, 0);
  // The VM is marked as gone within seconds, which ends the gap.
  EXPECT_LE(hour.unaccounted.vm_milliseconds, 77'000);
  ASSERT_EQ(report.gaps.size(), 1U);
  EXPECT_EQ(report.gaps[0].vm, "entry-2");
}

TEST_F(BurnControllerTest, VmLostBeforeItsFirstCountsIsEstimatedFromOthers) {
  fleet_.StartVm("entry-1");
  RunTraffic("entry-1", 100);
  fleet_.StartVm("entry-2");
  RunTraffic("entry-2", 20);
  fleet_.KillVm("entry-2");
  fleet_.Advance(100);
  ASSERT_EQ(fleet_.Lost().size(), 20U);
  const BurnReport report = fleet_.ReportFrom("entry-1");
  ExpectExact(report, fleet_.Kept());
  EXPECT_GE(report.classes[0].windows[1].unaccounted.requests_estimate, 20);
}

TEST_F(BurnControllerTest, EvaluatesAgainstTheTargetInForceAtArrival) {
  fleet_.StartVm("entry-1");
  fleet_.StartVm("entry-2");
  for (int second = 0; second < 120; ++second) {
    RequestRecord record = Answered("counter-lookup", 60);
    // The new targets take effect on one VM some seconds before the other.
    const bool is_tightened = second >= (second % 2 == 0 ? 47 : 53);
    if (is_tightened) {
      record.targets_revision = 2;
      record.latency_target = base::Milliseconds(50);
      record.latency_percentile = 99.9;
    }
    fleet_.Record(second % 2 == 0 ? "entry-1" : "entry-2", record);
    fleet_.Advance(1);
  }
  fleet_.Advance(80);
  const BurnReport report = fleet_.ReportFrom("entry-1");
  ExpectExact(report, fleet_.recorded());
  const ClassReport& row = report.classes[0];
  EXPECT_EQ(row.latest_targets.revision, 2);
  EXPECT_EQ(row.windows[1].latency.good, 24 + 26);
  EXPECT_EQ(row.windows[1].latency.bad, 120 - 24 - 26);
  // 50 requests may miss with 1 in 100, 70 with 1 in 1,000.
  EXPECT_EQ(row.windows[1].latency.allowed_millionths,
            50 * 10'000 + 70 * 1'000);
}

TEST_F(BurnControllerTest, OutageDelaysCountsAndIsSaid) {
  fleet_.StartVm("entry-1");
  fleet_.StartVm("entry-2");
  RunTraffic("entry-2", 100);
  fleet_.store().set_available(false);
  RunTraffic("entry-2", 3'000);
  RunTraffic("entry-1", 30);
  const BurnReport during = fleet_.ReportFrom("entry-1");
  EXPECT_TRUE(during.is_partial);
  EXPECT_FALSE(during.notes.empty());
  EXPECT_FALSE(during.others_read_wall_ms.has_value());
  EXPECT_EQ(during.classes[0].windows[1].counts.asked, 30);
  fleet_.store().set_available(true);
  fleet_.Advance(700);
  const BurnReport after = fleet_.ReportFrom("entry-1");
  EXPECT_FALSE(after.is_partial);
  ExpectExact(after, fleet_.recorded());
  EXPECT_EQ(after.classes[0].windows[3].unaccounted.vm_milliseconds, 0);
}

TEST_F(BurnControllerTest, ReportInOutageKeepsWhatWasRead) {
  fleet_.StartVm("entry-1");
  fleet_.StartVm("entry-2");
  RunTraffic("entry-2", 100);
  fleet_.Advance(80);
  ExpectExact(fleet_.ReportFrom("entry-1"), fleet_.recorded());
  const auto known = fleet_.recorded();
  fleet_.store().set_available(false);
  RunTraffic("entry-2", 600);
  const BurnReport report = fleet_.ReportFrom("entry-1");
  EXPECT_TRUE(report.is_partial);
  EXPECT_TRUE(report.others_read_wall_ms.has_value());
  ExpectExact(report, known);
  // The counts of entry-2 since then are overdue; the estimate is an upper
  // bound.
  EXPECT_GE(report.classes[0].windows[1].unaccounted.requests_estimate, 600);
}

TEST_F(BurnControllerTest, RestartedVmIsAddedUp) {
  fleet_.StartVm("entry-1");
  for (int start = 0; start < 3; ++start) {
    fleet_.StartVm("entry-2");
    RunTraffic("entry-2", 90);
    fleet_.StopVm("entry-2");
  }
  const BurnReport report = fleet_.ReportFrom("entry-1");
  ExpectExact(report, fleet_.recorded());
  EXPECT_TRUE(fleet_.Lost().empty());
  EXPECT_TRUE(report.gaps.empty());
}

TEST_F(BurnControllerTest, StopWithoutStoreLeavesUnaccountedTime) {
  fleet_.StartVm("entry-1");
  fleet_.StartVm("entry-2");
  RunTraffic("entry-2", 200);
  fleet_.store().CutOff("entry-2", true);
  RunTraffic("entry-2", 100);
  fleet_.StopVm("entry-2");
  const BurnReport report = fleet_.ReportFrom("entry-1");
  ExpectExact(report, fleet_.Kept());
  EXPECT_GE(fleet_.Lost().size(), 100U);
  EXPECT_GE(report.classes[0].windows[1].unaccounted.requests_estimate,
            static_cast<std::int64_t>(fleet_.Lost().size()));
}

TEST_F(BurnControllerTest, ProcessesWithOneIdentityAreBothCounted) {
  fleet_.StartVm("entry-1");
  fleet_.StartVm("entry-2");
  fleet_.StartDuplicate("entry-2", "twin");
  for (int minute = 0; minute < 40; ++minute) {
    RunTraffic("entry-2", 30);
    RunTraffic("twin", 30);
  }
  fleet_.Advance(1'500);
  ExpectExact(fleet_.ReportFrom("entry-1"), fleet_.recorded());
}

TEST_F(BurnControllerTest, ClocksApartMoveMinutesButLoseNothing) {
  fleet_.StartVm("entry-1");
  fleet_.StartVm("ahead", 45'000);
  fleet_.StartVm("behind", -45'000);
  for (int minute = 0; minute < 30; ++minute) {
    RunTraffic("ahead", 30);
    RunTraffic("behind", 30);
  }
  fleet_.Advance(80);
  const BurnReport report = fleet_.ReportFrom("entry-1");
  ExpectExact(report, fleet_.recorded());
  EXPECT_GT(report.clock_lead_ms, 0);
  EXPECT_LE(report.clock_lead_ms, 45'000);
  EXPECT_EQ(report.classes[0].windows[1].counts.asked, 1'800);
}

TEST_F(BurnControllerTest, FrozenVmTakenForDeadFlushesLate) {
  fleet_.StartVm("entry-1");
  fleet_.StartVm("entry-2");
  RunTraffic("entry-2", 200);
  // It counts requests that it cannot write before it is frozen.
  fleet_.store().CutOff("entry-2", true);
  RunTraffic("entry-2", 70);
  fleet_.FreezeVm("entry-2");
  // Long enough for its segments to be sealed, rolled up and erased.
  fleet_.Advance(2'400);
  const BurnReport without = fleet_.ReportFrom("entry-1");
  EXPECT_GT(without.classes[0].windows[1].unaccounted.vm_milliseconds, 60'000);
  EXPECT_LT(without.classes[0].windows[1].counts.asked, 270);
  fleet_.store().CutOff("entry-2", false);
  fleet_.WakeVm("entry-2");
  fleet_.Advance(60);
  RunTraffic("entry-2", 50);
  fleet_.Advance(600);
  const BurnReport with = fleet_.ReportFrom("entry-1");
  ExpectExact(with, fleet_.recorded());
  EXPECT_EQ(with.classes[0].windows[3].unaccounted.vm_milliseconds, 0);
}

TEST_F(BurnControllerTest, LostReplyBeforeASealIsSettledFromTheRollUp) {
  fleet_.StartVm("entry-1");
  fleet_.StartVm("entry-2");
  RunTraffic("entry-2", 130);
  // The last write takes effect, but its reply is lost, and it cannot be read
  // back before others have sealed and rolled up what it wrote.
  fleet_.store().CutOffWithNextWrite("entry-2");
  RunTraffic("entry-2", 80);
  fleet_.FreezeVm("entry-2");
  fleet_.Advance(2'400);
  fleet_.store().CutOff("entry-2", false);
  fleet_.WakeVm("entry-2");
  RunTraffic("entry-2", 10);
  fleet_.Advance(700);
  ExpectExact(fleet_.ReportFrom("entry-1"), fleet_.recorded());
}

TEST_F(BurnControllerTest, RollsUpToHoursAndDaysAndStaysExact) {
  fleet_.StartVm("entry-1");
  fleet_.StartVm("entry-2");
  for (int hour = 0; hour < 12; ++hour) {
    RunTraffic("entry-1", 40);
    RunTraffic("entry-2", 40);
    fleet_.Advance(3'520);
    ExpectExact(fleet_.ReportFrom("entry-2"), fleet_.recorded());
  }
  // Each VM has its current bucket and at most two not yet rolled up.
  EXPECT_LE(KeysMatching("burn/raw/", ""), 6);
  EXPECT_GE(KeysMatching("burn/day/", ""), 1);
}

TEST_F(BurnControllerTest, CountsOnceWhatIsRolledUpAndNotErased) {
  fleet_.StartVm("entry-1");
  fleet_.StartVm("entry-2");
  fleet_.store().FailErasesOf("burn/raw/");
  for (int hour = 0; hour < 11; ++hour) {
    RunTraffic("entry-2", 40);
    fleet_.Advance(3'560);
    ExpectExact(fleet_.ReportFrom("entry-1"), fleet_.recorded());
  }
  fleet_.store().FailErasesOf("");
  fleet_.Advance(10'800);
  ExpectExact(fleet_.ReportFrom("entry-1"), fleet_.recorded());
}

TEST_F(BurnControllerTest, CountsOfAnHourThatIsInItsDayAlreadyAreAdded) {
  fleet_.StartVm("entry-1");
  fleet_.StartVm("entry-2");
  fleet_.store().CutOff("entry-2", true);
  for (int hour = 0; hour < 13; ++hour) {
    RunTraffic("entry-1", 20);
    RunTraffic("entry-2", 20);
    fleet_.Advance(3'560);
  }
  ASSERT_GT(KeysMatching("burn/day/", ""), 0);
  ASSERT_EQ(KeysMatching("burn/hour/", "/domain-a/1"), 0);
  fleet_.store().CutOff("entry-2", false);
  // One old bucket per minute is written late, then rolled up.
  fleet_.Advance(1'200);
  EXPECT_GT(KeysMatching("burn/hour/", "/domain-a/1"), 0);
  fleet_.Advance(6'000);
  ExpectExact(fleet_.ReportFrom("entry-1"), fleet_.recorded());
  fleet_.Advance(18'000);
  ExpectExact(fleet_.ReportFrom("entry-1"), fleet_.recorded());
}

TEST_F(BurnControllerTest, BlackboardShowsOwnBurn) {
  fleet_.StartVm("entry-1");
  for (int second = 0; second < 100; ++second) {
    fleet_.Record("entry-1", Answered("counter-lookup", second < 2 ? 95 : 30));
    fleet_.Record("entry-1", Answered("no-budget", 95));
    fleet_.Advance(1);
  }
  auto view = fleet_.board("entry-1").burn.Read();
  EXPECT_DOUBLE_EQ(view->classes.at("counter-lookup").short_window_burn, 2.0);
  EXPECT_DOUBLE_EQ(view->classes.at("no-budget").long_window_burn, 100.0);
  fleet_.Advance(360);
  view = fleet_.board("entry-1").burn.Read();
  EXPECT_DOUBLE_EQ(view->classes.at("counter-lookup").short_window_burn, 0.0);
  EXPECT_DOUBLE_EQ(view->classes.at("counter-lookup").long_window_burn, 2.0);
  fleet_.Advance(3'600);
  EXPECT_TRUE(fleet_.board("entry-1").burn.Read()->classes.empty());
}

TEST_F(BurnControllerTest, ReportsOneClassWhenAsked) {
  fleet_.StartVm("entry-1");
  fleet_.Record("entry-1", Answered("counter-lookup", 1));
  fleet_.Record("entry-1", Answered("partner-sync", 1));
  std::optional<BurnReport> report;
  fleet_.controller("entry-1").Report(
      {.class_name = "partner-sync"},
      [&report](BurnReport made) { report = std::move(made); });
  fleet_.Advance(1);
  ASSERT_TRUE(report.has_value());
  ASSERT_EQ(report->classes.size(), 1U);
  EXPECT_EQ(report->classes[0].name, "partner-sync");
}

}  // namespace
}  // namespace medlarspread::burn
