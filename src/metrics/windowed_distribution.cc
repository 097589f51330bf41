// Rotation of the two accumulators.

#include "src/metrics/windowed_distribution.h"

#include <utility>

namespace medlarspread::metrics {

namespace {

constexpr base::Duration kRotation = std::chrono::minutes(1);

}  // namespace

WindowedDistribution::WindowedDistribution(base::Clock clock)
    : clock_(std::move(clock)), younger_since_(clock_.Now()) {}

void WindowedDistribution::Observe(base::Duration latency) {
  const double seconds = std::chrono::duration<double>(latency).count();
  const std::lock_guard lock(mutex_);
  Rotate();
  older_.Add(seconds);
  younger_.Add(seconds);
  ++count_;
  sum_seconds_ += seconds;
}

DistributionSummary WindowedDistribution::Summarize() {
  const std::lock_guard lock(mutex_);
  Rotate();
  return {older_.Quantiles(), count_, sum_seconds_};
}

void WindowedDistribution::Rotate() {
  const base::MonotonicTime now = clock_.Now();
  const base::Duration age = now - younger_since_;
  if (age < kRotation) {
    return;
  }
  // After two minutes without a call the younger one is too old as well.
  older_ = age < 2 * kRotation ? std::move(younger_) : LatencyAccumulator();
  younger_ = LatencyAccumulator();
  younger_since_ = now;
}

}  // namespace medlarspread::metrics
