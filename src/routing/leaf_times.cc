// A running mean per leaf and a running median over all.

#include "src/routing/leaf_times.h"

#include <algorithm>
#include <cstdint>

namespace medlarspread::routing {

namespace {

using base::Duration;

// Weight of the newest time in a leaf's mean: a slow leaf shows after some ten
// answers, one straggler alone does not.
constexpr double kMeanWeight = 0.1;
// The median moves by this share of itself with each answer.
constexpr double kMedianStep = 0.02;
constexpr int kExcessFactor = 2;

Duration Scaled(Duration duration, double factor) {
  return Duration(static_cast<std::int64_t>(
      factor * static_cast<double>(duration.count())));
}

}  // namespace

void LeafTimes::DidAnswer(const std::string& leaf, Duration time) {
  const auto [row, is_new] = means_.try_emplace(leaf, time);
  if (!is_new) {
    row->second += Scaled(time - row->second, kMeanWeight);
  }
  const Duration step = std::max(Duration(1), Scaled(typical_, kMedianStep));
  typical_ = std::max(Duration(1), typical_ + (time > typical_ ? step : -step));
}

Duration LeafTimes::MeanOf(const std::string& leaf) const {
  const auto row = means_.find(leaf);
  return row == means_.end() ? typical_ : std::max(Duration(1), row->second);
}

Duration LeafTimes::ExcessOf(const std::string& leaf) const {
  const Duration mean = MeanOf(leaf);
  return mean > kExcessFactor * typical_ ? mean - typical_ : Duration::zero();
}

}  // namespace medlarspread::routing
