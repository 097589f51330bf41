// The service-level burn report as data. report_builder.h computes it,
// report_format.h writes it out as text, JSON or HTML.

#ifndef MEDLARSPREAD_BURN_REPORT_H_
#define MEDLARSPREAD_BURN_REPORT_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "src/burn/counts.h"

namespace medlarspread::burn {

enum class Verdict {
  // Met even if every unaccounted request was bad.
  kMet,
  // Met by what is counted, not if every unaccounted request was bad.
  kOpen,
  kMissed,
  // Nothing was asked.
  kIdle,
};

// How one target (latency or coverage) of one class did in one window. Refused
// and unknown requests are bad: a target cannot be met by refusing.
struct TargetReport {
  std::int64_t good = 0;
  std::int64_t bad = 0;
  // Bad requests that the target allows, in millionths of a request: the sum
  // over requests of what the target in force when each was asked allows.
  std::int64_t allowed_millionths = 0;
  // good / (good + bad); absent when nothing was asked.
  std::optional<double> share;
  // Bad over allowed; 1 spends the budget exactly. Absent when nothing is
  // allowed although something was bad.
  std::optional<double> burn_rate;
  Verdict verdict = Verdict::kIdle;
};

// VM time for which no counts are at hand, within one window. Never good.
struct Unaccounted {
  // Time of VMs that stopped without writing their last counts, and of live
  // VMs whose counts are overdue; summed over VMs.
  std::int64_t vm_milliseconds = 0;
  // Estimate of how many requests at most were asked in it.
  std::int64_t requests_estimate = 0;
  // Time of live VMs since their last write, not overdue: its counts will come.
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
  // Upstream sends over shard answers, less one; absent without answers.
  std::optional<double> extra_load;
};

// The budget of one target over the quarter so far. It grows with each request
// by what the target allows and shrinks by one with each bad request.
struct BudgetReport {
  std::int64_t left_millionths = 0;
  // The same if every unaccounted request was bad.
  std::int64_t left_at_worst_millionths = 0;
  // When nothing is left at the rate of the last hour; absent when it will not
  // run out at that rate. Not above now when it is spent already.
  std::optional<std::int64_t> runs_out_wall_ms;
};

// One point of a class's history, for the picture.
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
  // The targets that the latest requests were judged by.
  JudgedBy latest_targets;
  std::vector<WindowReport> windows;
  BudgetReport latency_budget;
  BudgetReport coverage_budget;
  // The last six hours in steps of five minutes.
  std::vector<HistoryPoint> history;
};

// One stretch of VM time without counts, for the operator to follow up.
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
  // Whether the store could be read just now. If not, the report covers this
  // VM's own counts and, of other VMs, what was last read.
  bool is_partial = false;
  // When the other VMs' counts were read; absent if never.
  std::optional<std::int64_t> others_read_wall_ms;
  // Why it is partial, one line each.
  std::vector<std::string> notes;
  // VM incarnations whose counts are in the report as such; older ones are
  // contained in roll-ups.
  std::int64_t incarnations = 0;
  // Minutes are cut by each VM's own clock. The largest lead of another VM's
  // clock over this one's, and the largest step of any VM's clock, as seen.
  std::int64_t clock_lead_ms = 0;
  std::int64_t clock_step_ms = 0;
  std::vector<ClassReport> classes;
  // The longest first; `gaps_omitted` more are only in the sums.
  std::vector<GapReport> gaps;
  std::int64_t gaps_omitted = 0;
};

}  // namespace medlarspread::burn

#endif  // MEDLARSPREAD_BURN_REPORT_H_
