// Computes sums, burn rates and verdicts.

#include "src/burn/target_evaluation.h"

#include <chrono>

namespace medlarspread::burn {

namespace {

constexpr std::int64_t kMillisecondsPerDay =
    kMinutesPerDay * kMillisecondsPerMinute;

Verdict DetermineVerdict(std::int64_t bad,
                         std::int64_t allowed_millionths,
                         std::int64_t unaccounted,
                         std::int64_t allowed_ppm) {
  if (bad * kMillion > allowed_millionths) {
    return Verdict::kMissed;
  }
  const std::int64_t at_worst = (bad + unaccounted) * kMillion;
  const std::int64_t allowed_at_worst =
      allowed_millionths + unaccounted * allowed_ppm;
  return at_worst > allowed_at_worst ? Verdict::kOpen : Verdict::kMet;
}

}  // namespace

void SumWithAllowance::Add(const AppliedTargets& applied_targets,
                           const Counts& added) {
  counts += added;
  latency_allowed_millionths +=
      added.asked * applied_targets.latency_allowed_ppm;
  coverage_allowed_millionths +=
      added.asked * applied_targets.coverage_allowed_ppm;
}

std::optional<double> SumWithAllowance::latency_burn() const {
  return BurnRate(counts.asked - counts.in_time, latency_allowed_millionths);
}

std::optional<double> SumWithAllowance::coverage_burn() const {
  return BurnRate(counts.asked - counts.coverage_met,
                  coverage_allowed_millionths);
}

SumWithAllowance SumOver(const Cells& cells, const WallRange& range) {
  SumWithAllowance sum;
  for (const auto& [key, counts] : cells) {
    const std::int64_t start_ms = key.minute * kMillisecondsPerMinute;
    if (start_ms >= range.from_ms && start_ms < range.until_ms) {
      sum.Add(key.applied_targets, counts);
    }
  }
  return sum;
}

std::optional<double> BurnRate(std::int64_t bad,
                               std::int64_t allowed_millionths) {
  if (bad == 0) {
    return 0.0;
  }
  if (allowed_millionths == 0) {
    return std::nullopt;
  }
  return static_cast<double>(bad) * kMillion /
         static_cast<double>(allowed_millionths);
}

TargetReport EvaluateTarget(std::int64_t good,
                            std::int64_t asked,
                            std::int64_t allowed_millionths,
                            std::int64_t unaccounted,
                            std::int64_t allowed_ppm) {
  TargetReport target;
  target.good = good;
  target.bad = asked - good;
  target.allowed_millionths = allowed_millionths;
  target.burn_rate = BurnRate(target.bad, allowed_millionths);
  if (asked > 0) {
    target.share = static_cast<double>(good) / static_cast<double>(asked);
  }
  if (asked + unaccounted > 0) {
    target.verdict = DetermineVerdict(target.bad, allowed_millionths,
                                      unaccounted, allowed_ppm);
  }
  return target;
}

WallRange QuarterOf(std::int64_t wall_ms) {
  using std::chrono::days;
  using std::chrono::months;
  using std::chrono::sys_days;
  constexpr unsigned kMonthsPerQuarter = 3;
  const sys_days today{days(MinuteOf(wall_ms) / kMinutesPerDay -
                            (MinuteOf(wall_ms) % kMinutesPerDay < 0 ? 1 : 0))};
  const std::chrono::year_month_day date(today);
  const unsigned first_month = (static_cast<unsigned>(date.month()) - 1) /
                                   kMonthsPerQuarter * kMonthsPerQuarter +
                               1;
  const auto start = date.year() / std::chrono::month(first_month) / 1;
  const auto end = start + months(kMonthsPerQuarter);
  return {sys_days{start}.time_since_epoch().count() * kMillisecondsPerDay,
          sys_days{end}.time_since_epoch().count() * kMillisecondsPerDay};
}

}  // namespace medlarspread::burn
