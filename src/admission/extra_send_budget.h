// The sends beyond the first of each request that one daemon may add to a
// collection.
//
// The leaves bear, from all daemons together and in any window of time, a share
// of the requests and a slack beside it. Each daemon has two sources of
// its own to spend from:
//   - what its requests of the last quarter of a window earned and is not spent
//     yet. Trouble at the leaves begins at once and often ends within seconds,
//     so what calm seconds earned may be spent in its first moments;
//   - a bucket of slack, which comes back with time.
// The sum over all daemons stays below the bound by construction
// (PlanExtraSends), also where all of them restart in the middle of trouble: a
// restarted daemon has earned nothing, and its bucket starts nearly empty.
//
// Pure decision code; calls come from one sequence.

#ifndef MEDLARSPREAD_ADMISSION_EXTRA_SEND_BUDGET_H_
#define MEDLARSPREAD_ADMISSION_EXTRA_SEND_BUDGET_H_

#include <cstdint>
#include <deque>
#include <optional>

#include "src/base/clock.h"
#include "src/base/name_table.h"

namespace medlarspread::admission {

struct ExtraSendLimits {
  // What one request earns; it is lost after `earned_for`.
  double share = 0.1;
  base::Duration earned_for = base::Milliseconds(2'500);
  // The most slack that is saved up.
  double burst = 3.0;
  // Slack that comes back without requests.
  double per_second = 0.0;

  friend bool operator==(const ExtraSendLimits&,
                         const ExtraSendLimits&) = default;
};

// What a send was paid for with.
enum class Allowance { kEarned, kSlack };

inline constexpr base::NameTable<Allowance, 2> kAllowanceNames{{{
    {Allowance::kEarned, "earned"},
    {Allowance::kSlack, "slack"},
}}};

class ExtraSendBudget {
 public:
  ExtraSendBudget(const ExtraSendLimits& limits, base::MonotonicTime now);

  // Takes one send; absent if the budget is used up.
  std::optional<Allowance> Take(base::MonotonicTime now);
  void DidRequest(base::MonotonicTime now);
  // The daemons that share the bound have changed.
  void set_limits(const ExtraSendLimits& limits);

 private:
  // What happened within a small part of the time for which is earned.
  struct Cell {
    std::int64_t index = 0;
    double requests = 0.0;
    // Sends that were paid for by what requests earned.
    double taken = 0.0;
  };

  std::int64_t CellIndex(base::MonotonicTime now) const;
  Cell& CellOf(base::MonotonicTime now);
  // What the latest requests earned, less what was spent of it.
  double Earned(base::MonotonicTime now);
  void Refill(base::MonotonicTime now);

  ExtraSendLimits limits_;
  // Oldest first; none is older than `earned_for`.
  std::deque<Cell> cells_;
  base::MonotonicTime refilled_;
  // The slack that is saved up. Invariant: 0 <= slack_ <= limits_.burst.
  double slack_;
};

// What all daemons together may send beyond the first sends in any `window`.
struct ExtraSendBound {
  double share = 0.0;
  double slack = 0.0;
  base::Duration window = base::Milliseconds(10'000);
};

// The daemons that share what the leaves of a collection bear.
struct Senders {
  int daemons = 1;
  // Set for collections whose requests are handed to aggregators: those do
  // nearly all the sends, so they get most.
  int aggregators = 0;
  bool is_aggregator = false;
};

// This daemon's part of what the leaves bear from all, 0 to 1.
double PartOf(const Senders& senders);

// The limits of a daemon with that part of the slack.
ExtraSendLimits PlanExtraSends(const ExtraSendBound& bound, double part);

}  // namespace medlarspread::admission

#endif  // MEDLARSPREAD_ADMISSION_EXTRA_SEND_BUDGET_H_
