// A running mean per leaf and a running median over all.

#include "src/routing/leaf_times.h"

#include <algorithm>
#include <cstdint>

namespace medlarspread::routing {

namespace {

using base::Duration;

// Weight of the newest time in a leaf's mean.
constexpr double kMeanWeight = 0.05;
// Weights for a leaf's level. A leaf that becomes ten times slower is detected
// after three answers, and no longer reported ten answers after its recovery.
// Two such stragglers in a row are not enough to report the leaf.
constexpr double kRiseWeight = 0.05;
constexpr double kFallWeight = 0.2;
// Each answer moves the median by this fraction of its value.
constexpr double kMedianStep = 0.02;
constexpr int kExcessFactor = 2;

Duration Scaled(Duration duration, double factor) {
  return Duration(static_cast<std::int64_t>(
      factor * static_cast<double>(duration.count())));
}

}  // namespace

void LeafTimes::DidAnswer(const std::string& leaf, Duration time) {
  if (rows_.empty()) {
    typical_ = std::max(Duration(1), time);
  }
  Row& row = rows_.try_emplace(leaf, Row{typical_, typical_}).first->second;
  row.mean += Scaled(time - row.mean, kMeanWeight);
  row.level +=
      Scaled(time - row.level, time > row.level ? kRiseWeight : kFallWeight);
  const Duration step = std::max(Duration(1), Scaled(typical_, kMedianStep));
  typical_ = std::max(Duration(1), typical_ + (time > typical_ ? step : -step));
}

Duration LeafTimes::MeanOf(const std::string& leaf) const {
  const auto row = rows_.find(leaf);
  return row == rows_.end() ? typical_
                            : std::max(Duration(1), row->second.mean);
}

Duration LeafTimes::ExcessOf(const std::string& leaf) const {
  const auto row = rows_.find(leaf);
  if (row == rows_.end() || row->second.level <= kExcessFactor * typical_) {
    return Duration::zero();
  }
  return row->second.level - typical_;
}

}  // namespace medlarspread::routing
