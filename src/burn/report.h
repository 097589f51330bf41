// Data of the service-level burn report. report_builder.h computes it;
// report_format.h formats it as text, JSON or HTML.

#ifndef MEDLARSPREAD_BURN_REPORT_H_
#define MEDLARSPREAD_BURN_REPORT_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "src/burn/counts.h"

namespace medlarspread::burn {

enum class Verdict {
  // Met, even if every unaccounted request was bad.
  kMet,
  // Met by the counted requests, but not if every unaccounted request was bad.
  kOpen,
  kMissed,
  // There were no requests.
  kIdle,
};

// Result of one target (latency or coverage) of one class in one window.
// Refused and unknown requests are bad, so that refusing requests cannot
// improve the result.
struct TargetReport {
  std::int64_t good = 0;
  std::int64_t bad = 0;
  // How many bad requests the targets allow, in millionths of a request: the
  // sum over all requests of the allowance in force when each arrived.
  std::int64_t allowed_millionths = 0;
  // good / (good + bad); absent if there were no requests.
  std::optional<double> share;
  // Bad over allowed requests; 1 uses up the budget exactly. Absent if there
  // were bad requests but none are allowed.
  std::optional<double> burn_rate;
  Verdict verdict = Verdict::kIdle;
};

// VM time within one window for which there are no counts. Never counted as
// good.
struct Unaccounted {
  // Time of VMs that stopped without writing their last counts, and of live
  // VMs whose counts are overdue; summed over VMs.
  std::int64_t vm_milliseconds = 0;
  // Estimated upper bound of the requests that arrived in this time.
  std::int64_t requests_estimate = 0;
  // Time since the last write of live VMs whose next write is not overdue.
  std::int64_t pending_vm_milliseconds = 0;
  std::int64_t pending_requests_estimate = 0;
};

struct WindowReport {
  // "5m", "1h", "6h" or "quarter".
  std::string name;
  // Whole minutes, [start, end), milliseconds since 1970.
  std::int64_t start_wall_ms = 0;
  std::int64_t end_wall_ms = 0;
  Counts counts;
  TargetReport latency;
  TargetReport coverage;
  Unaccounted unaccounted;
  // Upstream sends over shard answers, minus one; absent without answers.
  std::optional<double> extra_load;
};

// Error budget of one target over the quarter so far. Each request adds what
// the target allows; each bad request subtracts one.
struct BudgetReport {
  std::int64_t left_millionths = 0;
  // The same if every unaccounted request was bad.
  std::int64_t left_at_worst_millionths = 0;
  // When the budget runs out at the rate of the last hour; absent if it will
  // not run out at that rate. Not later than now if it is already spent.
  std::optional<std::int64_t> runs_out_wall_ms;
};

// One point of a class's history, for the chart.
struct HistoryPoint {
  std::int64_t start_wall_ms = 0;
  std::int64_t minutes = 0;
  Counts counts;
  std::optional<double> latency_burn;
  std::optional<double> coverage_burn;
  // Unaccounted VM time of all VMs, overdue and pending.
  std::int64_t unaccounted_vm_milliseconds = 0;
};

struct ClassReport {
  std::string name;
  // The targets that the latest requests were evaluated against.
  AppliedTargets latest_targets;
  std::vector<WindowReport> windows;
  BudgetReport latency_budget;
  BudgetReport coverage_budget;
  // The last six hours in steps of five minutes.
  std::vector<HistoryPoint> history;
};

// One period of VM time without counts, for the operator to investigate.
struct GapReport {
  std::string vm;
  std::int64_t incarnation = 0;
  std::int64_t from_wall_ms = 0;
  std::int64_t until_wall_ms = 0;
  std::int64_t requests_estimate = 0;
  bool is_pending = false;
};

struct BurnReport {
  std::string reporting_vm;
  std::int64_t made_wall_ms = 0;
  std::int64_t quarter_start_wall_ms = 0;
  std::int64_t quarter_end_wall_ms = 0;
  // Set if the store could not be read. The report then covers this VM's own
  // counts and the last known counts of other VMs.
  bool is_partial = false;
  // When the other VMs' counts were read; absent if never.
  std::optional<std::int64_t> others_read_wall_ms;
  // Why the report is partial, one line per reason.
  std::vector<std::string> notes;
  // Number of VM incarnations whose own segments are in the report; older ones
  // are contained in roll-ups.
  std::int64_t incarnations = 0;
  // Each VM assigns requests to minutes by its own clock. These are the largest
  // observed lead of another VM's clock over this VM's clock, and the largest
  // observed step of any VM's clock.
  std::int64_t clock_lead_ms = 0;
  std::int64_t clock_step_ms = 0;
  std::vector<ClassReport> classes;
  // The longest gaps first; `gaps_omitted` more are included only in the sums.
  std::vector<GapReport> gaps;
  std::int64_t gaps_omitted = 0;
};

}  // namespace medlarspread::burn

#endif  // MEDLARSPREAD_BURN_REPORT_H_
