// Earned budget, slack bucket, and the division of the bound among daemons.

#include "src/admission/extra_send_budget.h"

#include <algorithm>
#include <chrono>

namespace medlarspread::admission {

namespace {

// Earned sends expire after a quarter of the window. The sends in any window
// are then earned by the requests of at most five quarters, so four fifths of
// the share can be granted.
constexpr double kPlannedShare = 0.8;
constexpr int kWindowDivisor = 4;
// Parts of the slack: the bucket capacity, and the refill in any window. Their
// sum leaves 0.2 as a margin for daemons with different views of the number of
// daemons.
constexpr double kBurstSlack = 0.4;
constexpr double kRefilledSlack = 0.4;
// Initial fill of the bucket as a part of its capacity.
constexpr double kInitialFill = 0.15;
// Number of cells that `earned_for` is divided into. A request counts for one
// cell less than that time and a send for one cell more, so that nothing is
// spent twice.
constexpr std::int64_t kCells = 10;
// The part of all aggregators together. The rest is for the other daemons in
// case their aggregators fail; each of them can use at least one connection and
// one extra send.
constexpr double kAggregatorsShare = 0.6;

double SecondsOf(base::Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

}  // namespace

ExtraSendBudget::ExtraSendBudget(const ExtraSendLimits& limits,
                                 base::MonotonicTime now)
    : limits_(limits), refilled_(now), slack_(kInitialFill * limits.burst) {}

std::optional<Allowance> ExtraSendBudget::Take(base::MonotonicTime now) {
  if (Earned(now) >= 1.0) {
    CellOf(now).taken += 1.0;
    return Allowance::kEarned;
  }
  Refill(now);
  if (slack_ < 1.0) {
    return std::nullopt;
  }
  slack_ -= 1.0;
  return Allowance::kSlack;
}

void ExtraSendBudget::DidRequest(base::MonotonicTime now) {
  CellOf(now).requests += 1.0;
}

void ExtraSendBudget::set_limits(const ExtraSendLimits& limits) {
  if (limits.earned_for != limits_.earned_for) {
    // The length of a cell depends on `earned_for`.
    cells_.clear();
  }
  limits_ = limits;
  slack_ = std::min(limits_.burst, slack_);
}

std::int64_t ExtraSendBudget::CellIndex(base::MonotonicTime now) const {
  return now.microseconds /
         std::max<std::int64_t>(1, limits_.earned_for.count() / kCells);
}

ExtraSendBudget::Cell& ExtraSendBudget::CellOf(base::MonotonicTime now) {
  const std::int64_t index = CellIndex(now);
  if (cells_.empty() || cells_.back().index != index) {
    cells_.push_back({index});
  }
  while (cells_.front().index < index - kCells) {
    cells_.pop_front();
  }
  return cells_.back();
}

double ExtraSendBudget::Earned(base::MonotonicTime now) {
  const std::int64_t oldest = CellOf(now).index - kCells;
  double earned = 0.0;
  for (const Cell& cell : cells_) {
    earned += cell.index > oldest ? limits_.share * cell.requests : 0.0;
    earned -= cell.taken;
  }
  return earned;
}

void ExtraSendBudget::Refill(base::MonotonicTime now) {
  const double seconds = SecondsOf(now - refilled_);
  slack_ = std::min(limits_.burst, slack_ + seconds * limits_.per_second);
  refilled_ = now;
}

double PartOf(const Senders& senders) {
  const int others = senders.daemons - senders.aggregators;
  if (senders.aggregators == 0 || others <= 0) {
    return 1.0 / std::max(1, senders.daemons);
  }
  return senders.is_aggregator ? kAggregatorsShare / senders.aggregators
                               : (1.0 - kAggregatorsShare) / others;
}

ExtraSendLimits PlanExtraSends(const ExtraSendBound& bound, double part) {
  const double slack = bound.slack * part;
  // A bucket with a capacity below one send would never permit any.
  return {kPlannedShare * bound.share, bound.window / kWindowDivisor,
          std::max(1.0, kBurstSlack * slack),
          kRefilledSlack * slack / SecondsOf(bound.window)};
}

}  // namespace medlarspread::admission
