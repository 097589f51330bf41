// Writes the burn report as JSON. The fields are named after the structs in
// report.h; absent values are null. Budgets are in millionths of a request, so
// that they stay exact.

#include <cpprest/json.h>

#include "src/burn/report_format.h"
#include "src/burn/report_writers.h"

namespace medlarspread::burn {

namespace {

using web::json::value;

value Number(std::int64_t number) {
  return value::number(number);
}

value Optional(const std::optional<double>& number) {
  return number ? value::number(*number) : value::null();
}

value Optional(const std::optional<std::int64_t>& number) {
  return number ? Number(*number) : value::null();
}

template <typename Rows, typename Write>
value Array(const Rows& rows, Write write) {
  value array = value::array(rows.size());
  for (std::size_t i = 0; i < rows.size(); ++i) {
    array[i] = write(rows[i]);
  }
  return array;
}

value WriteCounts(const Counts& counts) {
  value object;
  object["asked"] = Number(counts.asked);
  object["answered"] = Number(counts.answered);
  object["in_time"] = Number(counts.in_time);
  object["coverage_met"] = Number(counts.coverage_met);
  object["both_met"] = Number(counts.both_met);
  object["refused"] = Number(counts.refused);
  object["unknown"] = Number(counts.unknown);
  object["shard_answers"] = Number(counts.shard_answers);
  object["upstream_sends"] = Number(counts.upstream_sends);
  return object;
}

value WriteTarget(const TargetReport& target) {
  value object;
  object["good"] = Number(target.good);
  object["bad"] = Number(target.bad);
  object["allowed_millionths"] = Number(target.allowed_millionths);
  object["share"] = Optional(target.share);
  object["burn_rate"] = Optional(target.burn_rate);
  object["verdict"] = value::string(kVerdictNames.NameOf(target.verdict));
  return object;
}

value WriteUnaccounted(const Unaccounted& unaccounted) {
  value object;
  object["vm_ms"] = Number(unaccounted.vm_milliseconds);
  object["requests_estimate"] = Number(unaccounted.requests_estimate);
  object["pending_vm_ms"] = Number(unaccounted.pending_vm_milliseconds);
  object["pending_requests_estimate"] =
      Number(unaccounted.pending_requests_estimate);
  return object;
}

value WriteWindow(const WindowReport& window) {
  value object;
  object["name"] = value::string(window.name);
  object["start_ms"] = Number(window.start_wall_ms);
  object["end_ms"] = Number(window.end_wall_ms);
  object["counts"] = WriteCounts(window.counts);
  object["latency"] = WriteTarget(window.latency);
  object["coverage"] = WriteTarget(window.coverage);
  object["unaccounted"] = WriteUnaccounted(window.unaccounted);
  object["extra_load"] = Optional(window.extra_load);
  return object;
}

value WriteBudget(const BudgetReport& budget) {
  value object;
  object["left_millionths"] = Number(budget.left_millionths);
  object["left_at_worst_millionths"] = Number(budget.left_at_worst_millionths);
  object["runs_out_ms"] = Optional(budget.runs_out_wall_ms);
  return object;
}

value WriteAppliedTargets(const AppliedTargets& targets) {
  value object;
  object["revision"] = Number(targets.revision);
  object["latency_us"] = Number(targets.latency_us);
  object["coverage_ppm"] = Number(targets.coverage_ppm);
  object["latency_allowed_ppm"] = Number(targets.latency_allowed_ppm);
  object["coverage_allowed_ppm"] = Number(targets.coverage_allowed_ppm);
  return object;
}

value WritePoint(const HistoryPoint& point) {
  value object;
  object["start_ms"] = Number(point.start_wall_ms);
  object["minutes"] = Number(point.minutes);
  object["asked"] = Number(point.counts.asked);
  object["latency_burn"] = Optional(point.latency_burn);
  object["coverage_burn"] = Optional(point.coverage_burn);
  object["unaccounted_vm_ms"] = Number(point.unaccounted_vm_milliseconds);
  return object;
}

value WriteClass(const ClassReport& report) {
  value object;
  object["name"] = value::string(report.name);
  object["latest_targets"] = WriteAppliedTargets(report.latest_targets);
  object["windows"] = Array(report.windows, WriteWindow);
  object["latency_budget"] = WriteBudget(report.latency_budget);
  object["coverage_budget"] = WriteBudget(report.coverage_budget);
  object["history"] = Array(report.history, WritePoint);
  return object;
}

value WriteGap(const GapReport& gap) {
  value object;
  object["vm"] = value::string(gap.vm);
  object["incarnation"] = Number(gap.incarnation);
  object["from_ms"] = Number(gap.from_wall_ms);
  object["until_ms"] = Number(gap.until_wall_ms);
  object["requests_estimate"] = Number(gap.requests_estimate);
  object["is_pending"] = value::boolean(gap.is_pending);
  return object;
}

}  // namespace

std::string WriteJson(const BurnReport& report) {
  value object;
  object["reporting_vm"] = value::string(report.reporting_vm);
  object["made_ms"] = Number(report.made_wall_ms);
  object["quarter_start_ms"] = Number(report.quarter_start_wall_ms);
  object["quarter_end_ms"] = Number(report.quarter_end_wall_ms);
  object["is_partial"] = value::boolean(report.is_partial);
  object["others_read_ms"] = Optional(report.others_read_wall_ms);
  object["notes"] = Array(report.notes, [](const std::string& note) {
    return value::string(note);
  });
  object["incarnations"] = Number(report.incarnations);
  object["clock_lead_ms"] = Number(report.clock_lead_ms);
  object["clock_step_ms"] = Number(report.clock_step_ms);
  object["classes"] = Array(report.classes, WriteClass);
  object["gaps"] = Array(report.gaps, WriteGap);
  object["gaps_omitted"] = Number(report.gaps_omitted);
  return object.serialize();
}

}  // namespace medlarspread::burn
