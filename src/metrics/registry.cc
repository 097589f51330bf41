// Updates and rendering of metrics.

#include "src/metrics/registry.h"

#include <array>
#include <cstdio>

#include "src/base/json_string.h"
#include "src/metrics/process_usage.h"

namespace medlarspread::metrics {

namespace {

// Number of classes with their own time series. All others share one.
constexpr std::size_t kMaxClasses = 200;
constexpr const char* kOtherClasses = "(other)";

std::string ShowNumber(double number) {
  std::array<char, 32> buffer{};
  std::snprintf(buffer.data(), buffer.size(), "%.9g", number);
  return buffer.data();
}

std::string Header(const MetricText& metric, const char* type) {
  return std::string("# HELP ") + metric.name + " " + metric.help +
         "\n# TYPE " + metric.name + " " + type + "\n";
}

std::string RenderValue(const MetricText& metric,
                        const char* type,
                        const std::string& value) {
  return Header(metric, type) + metric.name + " " + value + "\n";
}

// `label` is empty or `name="value"`.
std::string RenderSummary(const MetricText& metric,
                          const std::string& label,
                          const DistributionSummary& summary) {
  const std::string name = metric.name;
  std::string text;
  for (std::size_t i = 0; i < kQuantiles.size(); ++i) {
    text += name;
    text += "{" + label + (label.empty() ? "" : ",") + "quantile=\"";
    text += ShowNumber(kQuantiles[i]) + "\"} ";
    text += ShowNumber(summary.quantiles[i]) + "\n";
  }
  const std::string braces = label.empty() ? "" : "{" + label + "}";
  text += name + "_sum" + braces + " " + ShowNumber(summary.sum_seconds) + "\n";
  text += name + "_count" + braces + " " + std::to_string(summary.count) + "\n";
  return text;
}

std::string RenderProcessUsage() {
  const ProcessUsage usage = ReadProcessUsage();
  return RenderValue(
             {"process_cpu_seconds_total",
              "User and system CPU time used by this process, in seconds."},
             "counter", ShowNumber(usage.cpu_seconds)) +
         RenderValue({"process_resident_memory_bytes",
                      "Resident memory size of this process, in bytes."},
                     "gauge", std::to_string(usage.resident_bytes));
}

}  // namespace

Registry::Registry(base::Clock clock) : clock_(std::move(clock)) {
  for (const Counter counter : AllCounters()) {
    counters_[counter] = 0;
  }
  for (const Gauge gauge : AllGauges()) {
    gauges_[gauge] = 0;
  }
  for (const Distribution distribution : AllDistributions()) {
    distributions_[distribution] =
        std::make_unique<WindowedDistribution>(clock_);
  }
}

void Registry::Count(Counter counter, std::int64_t by) {
  counters_.at(counter) += by;
}

void Registry::Count(ClassCounter counter,
                     const std::string& class_name,
                     std::int64_t by) {
  const std::lock_guard lock(mutex_);
  class_counters_[{counter, BoundedName(class_name)}] += by;
}

void Registry::Set(Gauge gauge, std::int64_t value) {
  gauges_.at(gauge) = value;
}

void Registry::Observe(Distribution distribution, base::Duration latency) {
  distributions_.at(distribution)->Observe(latency);
}

void Registry::Observe(ClassDistribution distribution,
                       const std::string& class_name,
                       base::Duration latency) {
  WindowedDistribution* found = nullptr;
  {
    const std::lock_guard lock(mutex_);
    auto& entry = class_distributions_[{distribution, BoundedName(class_name)}];
    if (!entry) {
      entry = std::make_unique<WindowedDistribution>(clock_);
    }
    found = entry.get();
    if (distribution == ClassDistribution::kRequestLatency) {
      request_histograms_[BoundedName(class_name)].Observe(latency);
    }
  }
  found->Observe(latency);
}

const std::string& Registry::BoundedName(const std::string& class_name) {
  const auto known = class_names_.find(class_name);
  if (known != class_names_.end()) {
    return known->second;
  }
  if (class_names_.size() < kMaxClasses) {
    return class_names_.emplace(class_name, class_name).first->second;
  }
  static const std::string other = kOtherClasses;
  return other;
}

std::string Registry::Render() {
  std::string text;
  for (const Counter counter : AllCounters()) {
    text += RenderValue(TextOf(counter), "counter",
                        std::to_string(counters_.at(counter).load()));
  }
  for (const Gauge gauge : AllGauges()) {
    text += RenderValue(TextOf(gauge), "gauge",
                        std::to_string(gauges_.at(gauge).load()));
  }
  for (const Distribution distribution : AllDistributions()) {
    const MetricText& metric = TextOf(distribution);
    text +=
        Header(metric, "summary") +
        RenderSummary(metric, "", distributions_.at(distribution)->Summarize());
  }
  RenderClassMetrics(text);
  return text + RenderProcessUsage();
}

void Registry::RenderClassMetrics(std::string& text) {
  const std::lock_guard lock(mutex_);
  constexpr MetricText kHistogram = {
      "medlarspread_request_duration_seconds",
      "Time from a caller's request until its answer, as a histogram."};
  if (!request_histograms_.empty()) {
    text += Header(kHistogram, "histogram");
  }
  for (const auto& [class_name, histogram] : request_histograms_) {
    text += histogram.Render(kHistogram.name,
                             "class=" + base::JsonString(class_name));
  }
  for (const ClassCounter counter : AllClassCounters()) {
    const MetricText& metric = TextOf(counter);
    text += Header(metric, "counter");
    for (const auto& [key, value] : class_counters_) {
      if (key.first == counter) {
        text += std::string(metric.name) +
                "{class=" + base::JsonString(key.second) + "} " +
                std::to_string(value) + "\n";
      }
    }
  }
  for (const ClassDistribution distribution : AllClassDistributions()) {
    const MetricText& metric = TextOf(distribution);
    text += Header(metric, "summary");
    for (const auto& [key, value] : class_distributions_) {
      if (key.first == distribution) {
        text += RenderSummary(metric, "class=" + base::JsonString(key.second),
                              value->Summarize());
      }
    }
  }
}

}  // namespace medlarspread::metrics
