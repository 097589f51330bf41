// Bucket counts and their rendering.

#include "src/metrics/latency_histogram.h"

#include <algorithm>

#include "src/base/json_string.h"

namespace medlarspread::metrics {

namespace {

constexpr double kMicrosecondsPerSecond = 1e6;

}  // namespace

void LatencyHistogram::Observe(base::Duration latency) {
  const double seconds =
      static_cast<double>(latency.count()) / kMicrosecondsPerSecond;
  const auto bound = std::lower_bound(kHistogramBounds.begin(),
                                      kHistogramBounds.end(), seconds);
  ++counts_.at(static_cast<std::size_t>(bound - kHistogramBounds.begin()));
  sum_seconds_ += seconds;
}

std::string LatencyHistogram::Render(const std::string& name,
                                     const std::string& label) const {
  std::string text;
  std::int64_t total = 0;
  for (std::size_t index = 0; index < counts_.size(); ++index) {
    total += counts_.at(index);
    const std::string bound = index < kHistogramBounds.size()
                                  ? base::JsonNumber(kHistogramBounds.at(index))
                                  : "+Inf";
    text += name;
    text += "_bucket{";
    text += label;
    text += ",le=\"" + bound + "\"} ";
    text += std::to_string(total);
    text += "\n";
  }
  text += name + "_sum{" + label + "} " + base::JsonNumber(sum_seconds_) + "\n";
  text += name + "_count{" + label + "} " + std::to_string(total) + "\n";
  return text;
}

}  // namespace medlarspread::metrics
