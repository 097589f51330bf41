// Builds the report from sums over windows and from gaps.

#include "src/burn/report_builder.h"

#include <algorithm>
#include <chrono>
#include <set>
#include <utility>

#include "src/burn/gap_finder.h"
#include "src/burn/keys.h"
#include "src/burn/target_evaluation.h"

namespace medlarspread::burn {

namespace {

constexpr std::int64_t kHistoryMinutes = 360;
constexpr std::int64_t kHistoryStepMinutes = 5;
constexpr std::size_t kListedGaps = 20;

struct WindowLength {
  const char* name;
  std::int64_t minutes;
};
constexpr WindowLength kTrailingWindows[] = {{"5m", 5},
                                             {"1h", 60},
                                             {"6h", 360}};
constexpr std::size_t kHourWindow = 1;
constexpr std::size_t kQuarterWindow = 3;

struct NotedGap {
  Gap gap;
  bool is_pending = false;
};

std::set<std::string> ContainedIn(
    const std::map<std::string, Segment>& segments) {
  std::set<std::string> contained;
  for (const auto& [id, segment] : segments) {
    for (const Source& source : segment.sources) {
      contained.insert(source.id);
    }
  }
  return contained;
}

class Builder {
 public:
  explicit Builder(const ReportInput& input)
      : input_(input), segments_(input.segments) {
    for (const std::string& id : ContainedIn(input.segments)) {
      segments_.erase(id);
    }
    histories_ = BuildHistories(segments_);
    FindGaps();
    const std::int64_t end_minute = MinuteOf(input.now_wall_ms) + 1;
    end_ms_ = end_minute * kMillisecondsPerMinute;
  }

  BurnReport Build() {
    BurnReport report;
    DescribeReport(report);
    DescribeClocks(report);
    DescribeVmsWithoutCounts(report);
    std::map<std::string, Cells> by_class;
    for (const auto& [id, segment] : segments_) {
      for (const auto& [key, counts] : segment.cells) {
        by_class[key.class_name][key] += counts;
      }
    }
    for (const auto& [name, cells] : by_class) {
      if (input_.class_name.empty() || input_.class_name == name) {
        report.classes.push_back(BuildClass(name, cells));
      }
    }
    ListGaps(report);
    return report;
  }

 private:
  void FindGaps() {
    std::vector<Gap> noted;
    std::vector<Cover> covers;
    for (const auto& [id, segment] : segments_) {
      noted.insert(noted.end(), segment.gaps.begin(), segment.gaps.end());
      covers.insert(covers.end(), segment.covers.begin(), segment.covers.end());
      if (segment.is_after_seal) {
        covers.push_back({segment.writer, segment.range});
      }
    }
    for (Gap& gap : TrimGaps(noted, covers)) {
      gaps_.push_back({std::move(gap), false});
    }
    for (const auto& [of, history] : histories_) {
      if (history.is_open) {
        AddOpenGap(of);
      }
    }
  }

  void AddOpenGap(const VmIncarnation& of) {
    const std::int64_t gone_by =
        LatestEndOf(of, histories_, input_.gone_wall_ms, input_.now_wall_ms);
    Gap gap = GapAfter(of, histories_, gone_by, input_.longest_request);
    if (gap.range.length_ms() == 0) {
      return;
    }
    const bool is_overdue =
        std::chrono::milliseconds(gap.range.length_ms()) > input_.pending_grace;
    const bool is_pending = input_.members.contains(of) && !is_overdue;
    gaps_.push_back({std::move(gap), is_pending});
  }

  void DescribeReport(BurnReport& report) const {
    const WallRange quarter = QuarterOf(input_.now_wall_ms);
    report.reporting_vm = input_.reporting_vm;
    report.made_wall_ms = input_.now_wall_ms;
    report.quarter_start_wall_ms = quarter.from_ms;
    report.quarter_end_wall_ms = quarter.until_ms;
    report.is_partial = input_.is_partial;
    report.others_read_wall_ms = input_.others_read_wall_ms;
    report.notes = input_.notes;
    report.incarnations = static_cast<std::int64_t>(histories_.size());
  }

  void DescribeClocks(BurnReport& report) const {
    for (const auto& [of, history] : histories_) {
      const std::int64_t lead = history.range.until_ms - input_.now_wall_ms;
      report.clock_lead_ms = std::max(report.clock_lead_ms, lead);
    }
    for (const auto& [id, segment] : segments_) {
      report.clock_step_ms =
          std::max(report.clock_step_ms, segment.clock_step_ms);
    }
  }

  // Adds members and lost VMs of which no write is known.
  void DescribeVmsWithoutCounts(BurnReport& report) const {
    std::set<VmIncarnation> known;
    for (const auto& [of, history] : histories_) {
      known.insert(of);
    }
    for (const std::string& id : ContainedIn(input_.segments)) {
      if (const auto key = ParseRawKey(id)) {
        known.insert(key->writer);
      }
    }
    for (const VmIncarnation& of : input_.members) {
      if (!known.contains(of)) {
        report.notes.push_back("VM " + of.vm + ", incarnation " +
                               std::to_string(of.incarnation) +
                               ": live, no counts read yet");
      }
    }
    for (const auto& [of, wall_ms] : input_.gone_wall_ms) {
      if (!known.contains(of)) {
        report.notes.push_back("VM " + of.vm + ", incarnation " +
                               std::to_string(of.incarnation) +
                               ": gone before its first counts, which are "
                               "unaccounted and cannot be estimated");
      }
    }
  }

  ClassReport BuildClass(const std::string& name, const Cells& cells) const {
    ClassReport report;
    report.name = name;
    report.latest_targets = LatestTargets(cells);
    for (const WindowLength& length : kTrailingWindows) {
      const std::int64_t start =
          end_ms_ - length.minutes * kMillisecondsPerMinute;
      report.windows.push_back(BuildWindow(length.name, {start, end_ms_},
                                           report.latest_targets, name, cells));
    }
    const WallRange quarter{QuarterOf(input_.now_wall_ms).from_ms, end_ms_};
    report.windows.push_back(
        BuildWindow("quarter", quarter, report.latest_targets, name, cells));
    FillBudgets(report);
    FillHistory(report, cells);
    return report;
  }

  static AppliedTargets LatestTargets(const Cells& cells) {
    AppliedTargets latest;
    for (const auto& [key, counts] : cells) {
      if (key.applied_targets.revision >= latest.revision) {
        latest = key.applied_targets;
      }
    }
    return latest;
  }

  Unaccounted UnaccountedIn(const WallRange& range,
                            const std::string& class_name) const {
    Unaccounted sum;
    for (const NotedGap& noted : gaps_) {
      const auto clipped = ClipGap(noted.gap, range);
      if (!clipped) {
        continue;
      }
      const std::int64_t length_ms = clipped->range.length_ms();
      const auto found = clipped->requests.find(class_name);
      const std::int64_t requests =
          found == clipped->requests.end() ? 0 : found->second;
      if (noted.is_pending) {
        sum.pending_vm_milliseconds += length_ms;
        sum.pending_requests_estimate += requests;
      } else {
        sum.vm_milliseconds += length_ms;
        sum.requests_estimate += requests;
      }
    }
    return sum;
  }

  WindowReport BuildWindow(const std::string& name,
                           const WallRange& range,
                           const AppliedTargets& latest,
                           const std::string& class_name,
                           const Cells& cells) const {
    const SumWithAllowance sum = SumOver(cells, range);
    const Counts& counts = sum.counts;
    WindowReport window;
    window.name = name;
    window.start_wall_ms = range.from_ms;
    window.end_wall_ms = range.until_ms;
    window.counts = counts;
    window.unaccounted = UnaccountedIn(range, class_name);
    const std::int64_t unaccounted = window.unaccounted.requests_estimate;
    window.latency = EvaluateTarget(counts.in_time, counts.asked,
                                    sum.latency_allowed_millionths, unaccounted,
                                    latest.latency_allowed_ppm);
    window.coverage = EvaluateTarget(counts.coverage_met, counts.asked,
                                     sum.coverage_allowed_millionths,
                                     unaccounted, latest.coverage_allowed_ppm);
    if (counts.shard_answers > 0) {
      window.extra_load = static_cast<double>(counts.upstream_sends) /
                              static_cast<double>(counts.shard_answers) -
                          1.0;
    }
    return window;
  }

  void FillBudgets(ClassReport& report) const {
    const WindowReport& hour = report.windows[kHourWindow];
    const WindowReport& quarter = report.windows[kQuarterWindow];
    const std::int64_t unaccounted = quarter.unaccounted.requests_estimate;
    report.latency_budget = BudgetOf(quarter.latency, hour.latency, unaccounted,
                                     report.latest_targets.latency_allowed_ppm);
    report.coverage_budget =
        BudgetOf(quarter.coverage, hour.coverage, unaccounted,
                 report.latest_targets.coverage_allowed_ppm);
  }

  BudgetReport BudgetOf(const TargetReport& quarter,
                        const TargetReport& hour,
                        std::int64_t unaccounted,
                        std::int64_t allowed_ppm) const {
    BudgetReport budget;
    budget.left_millionths =
        quarter.allowed_millionths - quarter.bad * kMillion;
    budget.left_at_worst_millionths =
        budget.left_millionths - unaccounted * (kMillion - allowed_ppm);
    if (budget.left_millionths <= 0 && quarter.bad > 0) {
      budget.runs_out_wall_ms = input_.now_wall_ms;
      return budget;
    }
    const std::int64_t lost_per_hour =
        hour.bad * kMillion - hour.allowed_millionths;
    if (lost_per_hour <= 0) {
      return budget;
    }
    const double hours_left = static_cast<double>(budget.left_millionths) /
                              static_cast<double>(lost_per_hour);
    const double left_ms =
        hours_left *
        static_cast<double>(kMinutesPerHour * kMillisecondsPerMinute);
    const WallRange calendar = QuarterOf(input_.now_wall_ms);
    // Compared as doubles: the product may be too large for an integer.
    if (left_ms < static_cast<double>(calendar.until_ms - input_.now_wall_ms)) {
      budget.runs_out_wall_ms =
          input_.now_wall_ms + static_cast<std::int64_t>(left_ms);
    }
    return budget;
  }

  void FillHistory(ClassReport& report, const Cells& cells) const {
    const std::int64_t step_ms = kHistoryStepMinutes * kMillisecondsPerMinute;
    const std::int64_t start_ms =
        end_ms_ - kHistoryMinutes * kMillisecondsPerMinute;
    for (std::int64_t from = start_ms; from < end_ms_; from += step_ms) {
      const WallRange range{from, from + step_ms};
      const SumWithAllowance sum = SumOver(cells, range);
      const Counts& counts = sum.counts;
      const Unaccounted unaccounted = UnaccountedIn(range, report.name);
      HistoryPoint point{from, kHistoryStepMinutes, counts, {}, {}, 0};
      point.unaccounted_vm_milliseconds =
          unaccounted.vm_milliseconds + unaccounted.pending_vm_milliseconds;
      if (counts.asked > 0) {
        point.latency_burn = sum.latency_burn();
        point.coverage_burn = sum.coverage_burn();
      }
      report.history.push_back(point);
    }
  }

  void ListGaps(BurnReport& report) const {
    for (const NotedGap& noted : gaps_) {
      GapReport row{noted.gap.of.vm,
                    noted.gap.of.incarnation,
                    noted.gap.range.from_ms,
                    noted.gap.range.until_ms,
                    0,
                    noted.is_pending};
      for (const auto& [name, requests] : noted.gap.requests) {
        row.requests_estimate += requests;
      }
      report.gaps.push_back(std::move(row));
    }
    std::stable_sort(report.gaps.begin(), report.gaps.end(),
                     [](const GapReport& one, const GapReport& other) {
                       return one.until_wall_ms - one.from_wall_ms >
                              other.until_wall_ms - other.from_wall_ms;
                     });
    if (report.gaps.size() > kListedGaps) {
      report.gaps_omitted =
          static_cast<std::int64_t>(report.gaps.size() - kListedGaps);
      report.gaps.resize(kListedGaps);
    }
  }

  const ReportInput& input_;
  // Segments that are not contained in another segment.
  std::map<std::string, Segment> segments_;
  Histories histories_;
  std::vector<NotedGap> gaps_;
  // End of the current minute.
  std::int64_t end_ms_ = 0;
};

}  // namespace

BurnReport BuildReport(const ReportInput& input) {
  return Builder(input).Build();
}

}  // namespace medlarspread::burn
