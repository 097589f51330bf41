// The report of a small fleet against a known history, through the failures
// that the report has to be truthful under.

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
  // One request a second on `vm`, every fifth late, every seventh thin.
  void RunTraffic(const std::string& vm, int seconds) {
    for (int second = 0; second < seconds; ++second) {
      fleet_.Record(vm, Answered("counter-lookup", second % 5 == 0 ? 95 : 30,
                                 second % 7 == 0 ? 0.5 : 0.99));
      fleet_.Advance(1);
    }
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
  // It was seen to be gone within seconds, so the gap does not grow.
  EXPECT_LE(hour.unaccounted.vm_milliseconds, 77'000);
  ASSERT_EQ(report.gaps.size(), 1U);
  EXPECT_EQ(report.gaps[0].vm, "entry-2");
}

}  // namespace
}  // namespace medlarspread::burn
