// The sends beyond the first of each request that one daemon may add to a
// collection.
//
// The leaves bear, from all daemons together and in any ten seconds, a share of
// the requests and a slack beside it. Each daemon spends from a bucket of its
// own: every request earns its share, and the slack comes back with time. In
// any ten seconds a bucket gives out what it held, what requests earned, and
// ten seconds' worth of the slack; the sum over all daemons stays below the
// bound by construction (PlanExtraSends). A restarted daemon starts with a
// nearly empty bucket, so that restarts of all daemons spend nothing twice.
//
// Pure decision code; calls come from one sequence.

#ifndef MEDLARSPREAD_ADMISSION_EXTRA_SEND_BUDGET_H_
#define MEDLARSPREAD_ADMISSION_EXTRA_SEND_BUDGET_H_

#include "src/base/clock.h"

namespace medlarspread::admission {

struct ExtraSendLimits {
  // What one request earns.
  double share = 0.1;
  // The most that is saved up.
  double burst = 3.0;
  // What comes back without requests.
  double per_second = 0.0;

  friend bool operator==(const ExtraSendLimits&,
                         const ExtraSendLimits&) = default;
};

class ExtraSendBudget {
 public:
  ExtraSendBudget(const ExtraSendLimits& limits, base::MonotonicTime now);

  // Takes one send if the budget lasts.
  bool Take(base::MonotonicTime now);
  void DidRequest(base::MonotonicTime now);
  // The daemons that share the bound have changed.
  void set_limits(const ExtraSendLimits& limits);

 private:
  void Refill(base::MonotonicTime now);

  ExtraSendLimits limits_;
  base::MonotonicTime refilled_;
  // Invariant: 0 <= tokens_ <= limits_.burst.
  double tokens_;
};

// What all daemons together may send beyond the first sends.
struct ExtraSendBound {
  double share = 0.0;
  double slack = 0.0;
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
