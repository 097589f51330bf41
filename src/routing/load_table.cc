// Expected waits and network times, aged as they are read.

#include "src/routing/load_table.h"

#include <cmath>
#include <utility>

namespace medlarspread::routing {

namespace {

// After this time a reported wait counts for half.
constexpr double kHalfLifeMicroseconds = 50'000.0;
// Before anything was heard: a hop inside a region and one between regions.
constexpr base::Duration kOwnRegionGuess = base::Milliseconds(1);
constexpr base::Duration kOtherRegionGuess = base::Milliseconds(20);
constexpr double kNetworkWeight = 0.1;

}  // namespace

LoadTable::LoadTable(base::Clock clock) : clock_(std::move(clock)) {}

void LoadTable::DidHear(const std::string& collection,
                        const std::string& class_name,
                        std::int32_t low,
                        const std::string& region,
                        const ShardLoad& load,
                        base::Duration network) {
  const std::lock_guard lock(mutex_);
  rows_[{collection, class_name, low, region}] = {load.expected_wait,
                                                  clock_.Now()};
  const auto [row, is_new] = network_.try_emplace(region, network);
  if (!is_new) {
    row->second += base::Duration(static_cast<std::int64_t>(
        kNetworkWeight * static_cast<double>((network - row->second).count())));
  }
}

base::Duration LoadTable::ExpectedWait(const std::string& collection,
                                       const std::string& class_name,
                                       std::int32_t low,
                                       const std::string& region) const {
  const std::lock_guard lock(mutex_);
  const auto row = rows_.find({collection, class_name, low, region});
  if (row == rows_.end()) {
    return base::Duration::zero();
  }
  const auto age =
      static_cast<double>((clock_.Now() - row->second.heard).count());
  return base::Duration(
      static_cast<std::int64_t>(static_cast<double>(row->second.wait.count()) *
                                std::exp2(-age / kHalfLifeMicroseconds)));
}

base::Duration LoadTable::NetworkTime(const std::string& region,
                                      bool is_own_region) const {
  const std::lock_guard lock(mutex_);
  const auto row = network_.find(region);
  if (row != network_.end()) {
    return row->second;
  }
  return is_own_region ? kOwnRegionGuess : kOtherRegionGuess;
}

}  // namespace medlarspread::routing
