// Tests that the three formats report the same data, and that the HTML page is
// self-contained.

#include "src/burn/report_format.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

// NOTE: defines a macro U that GoogleTest's headers must not see.
#include <cpprest/json.h>

#include "src/burn/report_builder.h"
#include "src/burn/report_writers.h"
#include "src/burn/target_evaluation.h"

namespace medlarspread::burn {
namespace {

using testing::HasSubstr;
using testing::Not;

// 2026-11-10T08:00:00Z.
constexpr std::int64_t kNowMs = 1'794'297'600'000;
constexpr std::int64_t kNowMinute = kNowMs / kMillisecondsPerMinute;

Counts MakeCounts(std::int64_t asked, std::int64_t in_time) {
  Counts counts;
  counts.asked = asked;
  counts.answered = asked;
  counts.in_time = in_time;
  counts.coverage_met = asked;
  counts.both_met = in_time;
  counts.shard_answers = 200 * asked;
  counts.upstream_sends = 202 * asked;
  return counts;
}

// 100,000 good requests earlier, 400 bad and 600 good ones in this hour, and a
// VM that was lost half an hour ago.
ReportInput MakeInput() {
  ReportInput input;
  input.reporting_vm = "entry-1";
  input.now_wall_ms = kNowMs;
  input.longest_request = base::Milliseconds(1'000);
  const AppliedTargets applied_targets{3, 91'000, 980'000, 10'000, 1'000};
  Segment segment;
  segment.writer = {"entry-1", 5};
  segment.range = {kNowMs - 600'000, kNowMs};
  segment.cells[{kNowMinute - 600, "desk<1>", applied_targets}] =
      MakeCounts(100'000, 100'000);
  segment.cells[{kNowMinute - 1, "desk<1>", applied_targets}] =
      MakeCounts(1'000, 600);
  input.segments["burn/raw/a/entry-1/5/1/0"] = segment;
  Segment lost;
  lost.writer = {"entry-2", 6};
  lost.range = {kNowMs - 2'400'000, kNowMs - 1'800'000};
  input.segments["burn/raw/a/entry-2/6/1/0"] = lost;
  input.gone_wall_ms[{"entry-2", 6}] = kNowMs - 1'790'000;
  return input;
}

TEST(ReportFormatTest, TextNamesBudgetAndWhenItRunsOut) {
  const std::string text =
      FormatReport(BuildReport(MakeInput()), ReportFormat::kText);
  EXPECT_THAT(text, HasSubstr("service-level burn, made 2026-11-10T08:00:00Z"));
  EXPECT_THAT(text, HasSubstr("quarter 2026-10-01T00:00:00Z to 2027-01-01"));
  EXPECT_THAT(text, HasSubstr("99% within 91 ms, 99.9% with coverage of 0.98"));
  // 1,010 allowed less 400 bad; 390 an hour more than the hour allows.
  EXPECT_THAT(text, HasSubstr("latency budget of the quarter so far: 610 "
                              "requests left (610 requests left if all"));
  EXPECT_THAT(text, HasSubstr("runs out 2026-11-10 09:33"));
  EXPECT_THAT(text, HasSubstr("unaccounted: 10 s of VM time"));
  EXPECT_THAT(text, HasSubstr("202000 upstream sends for 200000 shard answers "
                              "(+1.00%)"));
  EXPECT_THAT(text, Not(HasSubstr("PARTIAL")));
}

TEST(ReportFormatTest, PartialReportSaysSoInEachFormat) {
  ReportInput input = MakeInput();
  input.is_partial = true;
  input.notes.push_back("the store could not be read: timeout");
  const BurnReport report = BuildReport(input);
  EXPECT_THAT(FormatReport(report, ReportFormat::kText),
              HasSubstr("PARTIAL: counts of other VMs as of never"));
  EXPECT_THAT(FormatReport(report, ReportFormat::kHtml),
              HasSubstr("This report is partial"));
  const auto json =
      web::json::value::parse(FormatReport(report, ReportFormat::kJson));
  EXPECT_TRUE(json.at("is_partial").as_bool());
  EXPECT_TRUE(json.at("others_read_ms").is_null());
  EXPECT_EQ(json.at("notes").at(0).as_string(),
            "the store could not be read: timeout");
}

TEST(ReportFormatTest, JsonCarriesExactNumbers) {
  const auto json = web::json::value::parse(
      FormatReport(BuildReport(MakeInput()), ReportFormat::kJson));
  const auto& row = json.at("classes").at(0);
  EXPECT_EQ(row.at("name").as_string(), "desk<1>");
  const auto& hour = row.at("windows").at(1);
  EXPECT_EQ(hour.at("name").as_string(), "1h");
  EXPECT_EQ(hour.at("latency").at("good").as_integer(), 600);
  EXPECT_EQ(hour.at("latency").at("bad").as_integer(), 400);
  EXPECT_EQ(hour.at("latency").at("allowed_millionths").as_integer(),
            10'000'000);
  EXPECT_DOUBLE_EQ(hour.at("latency").at("burn_rate").as_double(), 40.0);
  EXPECT_EQ(hour.at("latency").at("verdict").as_string(), "missed");
  EXPECT_EQ(hour.at("unaccounted").at("vm_ms").as_integer(), 10'000);
  EXPECT_EQ(row.at("latency_budget").at("left_millionths").as_integer(),
            610'000'000);
  EXPECT_EQ(row.at("history").size(), 72U);
  EXPECT_EQ(json.at("gaps").at(0).at("vm").as_string(), "entry-2");
}

TEST(ReportFormatTest, PageLoadsNothingAndEscapesNames) {
  const std::string page =
      FormatReport(BuildReport(MakeInput()), ReportFormat::kHtml);
  EXPECT_THAT(page, HasSubstr("<svg "));
  EXPECT_THAT(page, HasSubstr("desk&lt;1&gt;"));
  EXPECT_THAT(page, Not(HasSubstr("desk<1>")));
  for (const char* outside :
       {"http:", "https:", "<script", "src=", "@import"}) {
    EXPECT_THAT(page, Not(HasSubstr(outside)));
  }
}

TEST(ReportFormatTest, BurnWithoutBudgetIsNamed) {
  ReportInput input = MakeInput();
  auto& cells = input.segments.begin()->second.cells;
  cells.clear();
  cells[{kNowMinute, "desk", {1, 1'000, 1'000'000, 0, 0}}] = MakeCounts(10, 9);
  const BurnReport report = BuildReport(input);
  EXPECT_FALSE(report.classes[0].windows[0].latency.burn_rate.has_value());
  EXPECT_THAT(FormatReport(report, ReportFormat::kText),
              HasSubstr("no budget"));
  EXPECT_THAT(FormatReport(report, ReportFormat::kText), HasSubstr("spent"));
}

TEST(ReportFormatTest, WritesCountsInGroups) {
  EXPECT_EQ(WriteCount(0), "0");
  EXPECT_EQ(WriteCount(999), "999");
  EXPECT_EQ(WriteCount(-1'000), "-1,000");
  EXPECT_EQ(WriteCount(1'234'567), "1,234,567");
}

TEST(ReportBuilderTest, QuartersStartAtTheirFirstMidnight) {
  const WallRange quarter = QuarterOf(kNowMs);
  EXPECT_EQ(WriteTime(quarter.from_ms), "2026-10-01T00:00:00Z");
  EXPECT_EQ(WriteTime(quarter.until_ms), "2027-01-01T00:00:00Z");
  EXPECT_EQ(QuarterOf(quarter.from_ms), quarter);
  EXPECT_EQ(QuarterOf(quarter.from_ms - 1).until_ms, quarter.from_ms);
  EXPECT_EQ(WriteTime(QuarterOf(quarter.until_ms).until_ms),
            "2027-04-01T00:00:00Z");
}

}  // namespace
}  // namespace medlarspread::burn
