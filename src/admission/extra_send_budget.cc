// The bucket, and how the bound is shared out.

#include "src/admission/extra_send_budget.h"

#include <algorithm>
#include <chrono>

namespace medlarspread::admission {

namespace {

// The share grows with the requests themselves, so little of it has to be left.
constexpr double kPlannedShare = 0.85;
// Of the slack: what may be saved up, and what comes back in any ten seconds.
// Their sum leaves 0.2 for daemons that count one another differently.
constexpr double kSavedSlack = 0.4;
constexpr double kReturnedSlack = 0.4;
constexpr double kWindowSeconds = 10.0;
// Of a full bucket, what a daemon starts with.
constexpr double kFirstPart = 0.15;
// What the aggregators together get; the rest is for entries whose aggregators
// fail, each of which can use one connection and one extra send at least.
constexpr double kAggregatorsPart = 0.6;

double SecondsOf(base::Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

}  // namespace

ExtraSendBudget::ExtraSendBudget(const ExtraSendLimits& limits,
                                 base::MonotonicTime now)
    : limits_(limits), refilled_(now), tokens_(kFirstPart * limits.burst) {}

bool ExtraSendBudget::Take(base::MonotonicTime now) {
  Refill(now);
  if (tokens_ < 1.0) {
    return false;
  }
  tokens_ -= 1.0;
  return true;
}

void ExtraSendBudget::DidRequest(base::MonotonicTime now) {
  Refill(now);
  tokens_ = std::min(limits_.burst, tokens_ + limits_.share);
}

void ExtraSendBudget::set_limits(const ExtraSendLimits& limits) {
  limits_ = limits;
  tokens_ = std::min(limits_.burst, tokens_);
}

void ExtraSendBudget::Refill(base::MonotonicTime now) {
  const double seconds = SecondsOf(now - refilled_);
  tokens_ = std::min(limits_.burst, tokens_ + seconds * limits_.per_second);
  refilled_ = now;
}

double PartOf(const Senders& senders) {
  const int entries = senders.daemons - senders.aggregators;
  if (senders.aggregators == 0 || entries <= 0) {
    return 1.0 / std::max(1, senders.daemons);
  }
  return senders.is_aggregator ? kAggregatorsPart / senders.aggregators
                               : (1.0 - kAggregatorsPart) / entries;
}

ExtraSendLimits PlanExtraSends(const ExtraSendBound& bound, double part) {
  const double slack = bound.slack * part;
  // A bucket that never holds a whole send would never give one out.
  return {kPlannedShare * bound.share, std::max(1.0, kSavedSlack * slack),
          kReturnedSlack * slack / kWindowSeconds};
}

}  // namespace medlarspread::admission
