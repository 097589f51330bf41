// Histogram of latencies with fixed buckets. Unlike quantiles, bucket counts
// can be summed over VMs and over time.

#ifndef MEDLARSPREAD_METRICS_LATENCY_HISTOGRAM_H_
#define MEDLARSPREAD_METRICS_LATENCY_HISTOGRAM_H_

#include <array>
#include <cstdint>
#include <string>

#include "src/base/clock.h"

namespace medlarspread::metrics {

// Upper bounds of the buckets, in seconds. Buckets are narrow from 20 ms to
// half a second, where latency targets lie. One more bucket follows the last
// bound.
constexpr std::array<double, 14> kHistogramBounds = {
    0.005, 0.01, 0.02, 0.03, 0.05, 0.075, 0.1,
    0.15,  0.2,  0.3,  0.5,  1.0,  2.5,   5.0};

// Not thread-safe.
class LatencyHistogram {
 public:
  void Observe(base::Duration latency);

  // Returns the lines in the Prometheus text format. `label` is `name="value"`.
  std::string Render(const std::string& name, const std::string& label) const;

 private:
  std::array<std::int64_t, kHistogramBounds.size() + 1> counts_{};
  double sum_seconds_ = 0.0;
};

}  // namespace medlarspread::metrics

#endif  // MEDLARSPREAD_METRICS_LATENCY_HISTOGRAM_H_
