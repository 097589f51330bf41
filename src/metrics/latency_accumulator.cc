// Implements LatencyAccumulator with Boost.Accumulators.

#include "src/metrics/latency_accumulator.h"

#include <algorithm>
#include <cmath>

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square.hpp>
#include <boost/accumulators/statistics/stats.hpp>

namespace medlarspread::metrics {

namespace {

namespace accumulators = boost::accumulators;

// The algorithm keeps 2 n + 3 markers for n quantiles.
constexpr std::size_t kMarkers = 2 * kQuantiles.size() + 3;

// Up to this number of samples, quantiles are computed from the samples.
constexpr std::size_t kExactSamples = 4 * kMarkers;

}  // namespace

struct LatencyAccumulator::Estimator {
  accumulators::accumulator_set<
      double,
      accumulators::stats<accumulators::tag::count,
                          accumulators::tag::extended_p_square>>
      set{accumulators::extended_p_square_probabilities = kQuantiles};
};

LatencyAccumulator::LatencyAccumulator()
    : estimator_(std::make_unique<Estimator>()) {}

LatencyAccumulator::~LatencyAccumulator() = default;
LatencyAccumulator::LatencyAccumulator(LatencyAccumulator&&) noexcept = default;
LatencyAccumulator& LatencyAccumulator::operator=(
    LatencyAccumulator&&) noexcept = default;

void LatencyAccumulator::Add(double seconds) {
  estimator_->set(seconds);
  if (first_samples_.size() < kExactSamples) {
    first_samples_.push_back(seconds);
  }
}

std::size_t LatencyAccumulator::count() const {
  return accumulators::count(estimator_->set);
}

QuantileValues LatencyAccumulator::Quantiles() const {
  QuantileValues values{};
  if (count() == 0) {
    return values;
  }
  if (count() > kExactSamples) {
    const auto estimates = accumulators::extended_p_square(estimator_->set);
    std::copy(estimates.begin(), estimates.end(), values.begin());
    return values;
  }
  std::vector<double> sorted = first_samples_;
  std::sort(sorted.begin(), sorted.end());
  for (std::size_t i = 0; i < kQuantiles.size(); ++i) {
    const double rank =
        std::ceil(kQuantiles[i] * static_cast<double>(sorted.size()));
    values[i] = sorted[static_cast<std::size_t>(rank) - 1];
  }
  return values;
}

}  // namespace medlarspread::metrics
