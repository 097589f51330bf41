// Writes the burn report as text: one table per class, one row per window and
// target.

#include <spdlog/fmt/fmt.h>

#include "src/burn/report_format.h"
#include "src/burn/report_writers.h"

namespace medlarspread::burn {

namespace {

constexpr char kRow[] =
    "  {:<8}{:<10}{:>12}{:>12}{:>10}{:>12}{:>11}{:>11}  {:<8}\n";

std::string WriteTargetRow(const WindowReport& window,
                           const char* name,
                           const TargetReport& target) {
  return fmt::format(kRow, window.name, name, window.counts.asked, target.good,
                     target.bad, WholeRequests(target.allowed_millionths),
                     WriteShare(target.share), WriteBurn(target.burn_rate),
                     kVerdictNames.NameOf(target.verdict));
}

std::string WriteOutcomes(const WindowReport& window) {
  const Counts& counts = window.counts;
  const Unaccounted& unaccounted = window.unaccounted;
  std::string text = fmt::format(
      "  {:<8}{} answered, {} refused, {} unknown; {} met both targets; "
      "{} upstream sends for {} shard answers{}\n",
      window.name, counts.answered, counts.refused, counts.unknown,
      counts.both_met, counts.upstream_sends, counts.shard_answers,
      window.extra_load ? fmt::format(" ({:+.2f}%)", *window.extra_load * 100.0)
                        : "");
  if (unaccounted.vm_milliseconds > 0) {
    text += fmt::format(
        "          unaccounted: {} of VM time, at most about {} requests "
        "(estimate)\n",
        WriteDuration(unaccounted.vm_milliseconds),
        unaccounted.requests_estimate);
  }
  if (unaccounted.pending_vm_milliseconds > 0) {
    text += fmt::format(
        "          not written yet: {} of VM time, at most about {} requests "
        "(estimate)\n",
        WriteDuration(unaccounted.pending_vm_milliseconds),
        unaccounted.pending_requests_estimate);
  }
  return text;
}

std::string WriteBudget(const char* name,
                        const BudgetReport& budget,
                        const BurnReport& report) {
  return fmt::format("  {} budget of the quarter so far: {}; {}\n", name,
                     WriteBudgetLeft(budget), WriteRunsOut(budget, report));
}

std::string WriteClass(const ClassReport& report, const BurnReport& whole) {
  std::string text = fmt::format("\nclass {}: {}\n", report.name,
                                 WriteTargets(report.latest_targets));
  text += fmt::format(kRow, "window", "target", "asked", "good", "bad",
                      "allowed", "share", "burn", "verdict");
  for (const WindowReport& window : report.windows) {
    text += WriteTargetRow(window, "latency", window.latency);
    text += WriteTargetRow(window, "coverage", window.coverage);
  }
  for (const WindowReport& window : report.windows) {
    text += WriteOutcomes(window);
  }
  text += WriteBudget("latency", report.latency_budget, whole);
  text += WriteBudget("coverage", report.coverage_budget, whole);
  return text;
}

std::string WriteHead(const BurnReport& report) {
  std::string text =
      fmt::format("service-level burn, made {} by {}\nquarter {} to {}\n",
                  WriteTime(report.made_wall_ms), report.reporting_vm,
                  WriteTime(report.quarter_start_wall_ms),
                  WriteTime(report.quarter_end_wall_ms));
  if (report.is_partial) {
    text += fmt::format("PARTIAL: counts of other VMs as of {}\n",
                        report.others_read_wall_ms
                            ? WriteTime(*report.others_read_wall_ms)
                            : "never");
  }
  for (const std::string& note : report.notes) {
    text += "note: " + note + "\n";
  }
  text += fmt::format(
      "minutes by each VM's own clock; largest lead of a clock seen {} ms, "
      "largest step {} ms\n",
      report.clock_lead_ms, report.clock_step_ms);
  return text;
}

}  // namespace

std::string WriteText(const BurnReport& report) {
  std::string text = WriteHead(report);
  for (const ClassReport& row : report.classes) {
    text += WriteClass(row, report);
  }
  if (!report.gaps.empty()) {
    text += "\nVM time without counts\n";
  }
  for (const GapReport& gap : report.gaps) {
    text += fmt::format(
        "  {} incarnation {}: {} to {} ({}), {}, at most about "
        "{} requests (estimate)\n",
        gap.vm, gap.incarnation, WriteTime(gap.from_wall_ms),
        WriteTime(gap.until_wall_ms),
        WriteDuration(gap.until_wall_ms - gap.from_wall_ms),
        gap.is_pending ? "not written yet" : "unaccounted",
        gap.requests_estimate);
  }
  if (report.gaps_omitted > 0) {
    text += fmt::format("  and {} shorter ones\n", report.gaps_omitted);
  }
  return text;
}

}  // namespace medlarspread::burn
