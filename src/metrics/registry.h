// Holds the values of all metrics of the daemon and renders them for GET
// /metrics.

#ifndef MEDLARSPREAD_METRICS_REGISTRY_H_
#define MEDLARSPREAD_METRICS_REGISTRY_H_

#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <utility>

#include "src/base/clock.h"
#include "src/metrics/latency_histogram.h"
#include "src/metrics/metric_names.h"
#include "src/metrics/windowed_distribution.h"

namespace medlarspread::metrics {

// Thread-safe.
class Registry {
 public:
  explicit Registry(base::Clock clock);

  void Count(Counter counter, std::int64_t by = 1);
  void Count(ClassCounter counter,
             const std::string& class_name,
             std::int64_t by = 1);
  void Set(Gauge gauge, std::int64_t value);
  void Observe(Distribution distribution, base::Duration latency);
  void Observe(ClassDistribution distribution,
               const std::string& class_name,
               base::Duration latency);

  // Renders the Prometheus text exposition format, version 0.0.4.
  std::string Render();

 private:
  using ClassCounterKey = std::pair<ClassCounter, std::string>;
  using ClassDistributionKey = std::pair<ClassDistribution, std::string>;

  // Returns the label value for a class. Once kMaxClasses have been seen, new
  // classes share one label, because classes are added and removed and the
  // number of time series must stay bounded. Call with the mutex held.
  const std::string& BoundedName(const std::string& class_name);
  void RenderClassMetrics(std::string& text);

  const base::Clock clock_;
  // Invariant: no keys are added or removed after construction.
  std::map<Counter, std::atomic<std::int64_t>> counters_;
  std::map<Gauge, std::atomic<std::int64_t>> gauges_;
  std::map<Distribution, std::unique_ptr<WindowedDistribution>> distributions_;

  // Guards the members below. Distributions are never removed or replaced, so
  // they may be used without the mutex.
  std::mutex mutex_;
  std::map<std::string, std::string> class_names_;
  std::map<ClassCounterKey, std::int64_t> class_counters_;
  std::map<ClassDistributionKey, std::unique_ptr<WindowedDistribution>>
      class_distributions_;
  // By class, of ClassDistribution::kRequestLatency.
  std::map<std::string, LatencyHistogram> request_histograms_;
};

}  // namespace medlarspread::metrics

#endif  // MEDLARSPREAD_METRICS_REGISTRY_H_
