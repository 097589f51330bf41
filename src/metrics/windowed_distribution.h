// Quantiles of recent latencies. Two accumulators take every sample; each
// minute the older one, which is the one reported, gives way to the younger. So
// a report covers the last one to two minutes.

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

// Safe to use from any thread.
class WindowedDistribution {
 public:
  explicit WindowedDistribution(base::Clock clock);

  void Observe(base::Duration latency);
  DistributionSummary Summarize();

 private:
  // Drops what is too old. Call with the mutex held.
  void Rotate();

  const base::Clock clock_;
  std::mutex mutex_;
  // Invariant: `older_` has seen every sample that `younger_` has.
  LatencyAccumulator older_;
  LatencyAccumulator younger_;
  // When `younger_` was begun.
  base::MonotonicTime younger_since_;
  std::int64_t count_ = 0;
  double sum_seconds_ = 0.0;
};

}  // namespace medlarspread::metrics

#endif  // MEDLARSPREAD_METRICS_WINDOWED_DISTRIBUTION_H_
