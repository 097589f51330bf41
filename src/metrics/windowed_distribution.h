// Quantiles of recent latencies. Every sample is added to two accumulators, of
// which the older one is reported. Each minute the younger one replaces the
// older one and a new one is started, so a report covers the last one to two
// minutes.

#ifndef MEDLARSPREAD_METRICS_WINDOWED_DISTRIBUTION_H_
#define MEDLARSPREAD_METRICS_WINDOWED_DISTRIBUTION_H_

#include <cstdint>
#include <mutex>

#include "src/base/clock.h"
#include "src/metrics/latency_accumulator.h"

namespace medlarspread::metrics {

struct DistributionSummary {
  // Estimates over the last one to two minutes, in seconds.
  QuantileValues quantiles{};
  // Exact, since the process started.
  std::int64_t count = 0;
  double sum_seconds = 0.0;
};

// Thread-safe.
class WindowedDistribution {
 public:
  explicit WindowedDistribution(base::Clock clock);

  void Observe(base::Duration latency);
  DistributionSummary Summarize();

 private:
  // Replaces accumulators that are too old. Call with the mutex held.
  void Rotate();

  const base::Clock clock_;
  std::mutex mutex_;
  // Invariant: `older_` contains every sample that `younger_` contains.
  LatencyAccumulator older_;
  LatencyAccumulator younger_;
  // When `younger_` was started.
  base::MonotonicTime younger_since_;
  std::int64_t count_ = 0;
  double sum_seconds_ = 0.0;
};

}  // namespace medlarspread::metrics

#endif  // MEDLARSPREAD_METRICS_WINDOWED_DISTRIBUTION_H_
