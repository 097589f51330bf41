// Budget of one daemon for extra sends to a collection, which are all sends of
// a request after its first: retries and second sends.
//
// In any time window the leaves accept extra sends from all daemons together up
// to a share of the requests plus a fixed slack. Each daemon has two budgets:
//   - what its requests of the last quarter of a window have earned and was not
//     spent yet. Faults at the leaves begin suddenly and often end within
//     seconds, so what was earned before the fault can be spent at its start;
//   - a token bucket of slack, which is refilled over time.
// The sum over all daemons stays below the bound by construction
// (PlanExtraSends), even if all daemons restart during a fault: a restarted
// daemon has earned nothing, and its bucket starts nearly empty.
//
// Pure decision code; used on one sequence.

#ifndef MEDLARSPREAD_ADMISSION_EXTRA_SEND_BUDGET_H_
#define MEDLARSPREAD_ADMISSION_EXTRA_SEND_BUDGET_H_

#include <cstdint>
#include <deque>
#include <optional>

#include "src/base/clock.h"
#include "src/base/name_table.h"

namespace medlarspread::admission {

struct ExtraSendLimits {
  // Extra sends that one request earns; they expire after `earned_for`.
  double share = 0.1;
  base::Duration earned_for = base::Milliseconds(2'500);
  // Capacity of the slack bucket.
  double burst = 3.0;
  // Refill rate of the slack bucket.
  double per_second = 0.0;

  friend bool operator==(const ExtraSendLimits&,
                         const ExtraSendLimits&) = default;
};

// The budget that a send was charged to.
enum class Allowance { kEarned, kSlack };

inline constexpr base::NameTable<Allowance, 2> kAllowanceNames{{{
    {Allowance::kEarned, "earned"},
    {Allowance::kSlack, "slack"},
}}};

class ExtraSendBudget {
 public:
  ExtraSendBudget(const ExtraSendLimits& limits, base::MonotonicTime now);

  // Charges one send; absent if both budgets are used up.
  std::optional<Allowance> Take(base::MonotonicTime now);
  void DidRequest(base::MonotonicTime now);
  // Applies new limits after the daemons that share the bound have changed.
  void set_limits(const ExtraSendLimits& limits);

 private:
  // Counts for one short interval of `earned_for`.
  struct Cell {
    std::int64_t index = 0;
    double requests = 0.0;
    // Sends that were charged to the earned budget.
    double taken = 0.0;
  };

  std::int64_t CellIndex(base::MonotonicTime now) const;
  Cell& CellOf(base::MonotonicTime now);
  // The earned budget that is left.
  double Earned(base::MonotonicTime now);
  void Refill(base::MonotonicTime now);

  ExtraSendLimits limits_;
  // Oldest first; none is older than `earned_for`.
  std::deque<Cell> cells_;
  base::MonotonicTime refilled_;
  // Fill of the slack bucket. Invariant: 0 <= slack_ <= limits_.burst.
  double slack_;
};

// Bound on the extra sends of all daemons together in any `window`.
struct ExtraSendBound {
  double share = 0.0;
  double slack = 0.0;
  base::Duration window = base::Milliseconds(10'000);
};

// The daemons that share the extra sends and connections that the leaves of a
// collection accept.
struct Senders {
  int daemons = 1;
  // Set for collections whose requests are handed to aggregators. Aggregators
  // do nearly all sends, so they get the largest part.
  int aggregators = 0;
  bool is_aggregator = false;
};

// This daemon's part of what the leaves accept from all daemons, from 0 to 1.
double PartOf(const Senders& senders);

// The limits of a daemon that gets `part` of the slack.
ExtraSendLimits PlanExtraSends(const ExtraSendBound& bound, double part);

}  // namespace medlarspread::admission

#endif  // MEDLARSPREAD_ADMISSION_EXTRA_SEND_BUDGET_H_
