// Expected waits and network times; waits are aged on reading.

#include "src/routing/load_table.h"

#include <algorithm>
#include <utility>

namespace medlarspread::routing {

namespace {

// Used until the first reply: round trips inside a region and between regions.
constexpr base::Duration kInitialOwnRegionTime = base::Milliseconds(1);
constexpr base::Duration kInitialOtherRegionTime = base::Milliseconds(20);
constexpr double kNetworkWeight = 0.1;
// How long a report of a slow leaf stays valid.
constexpr base::Duration kExcessLifetime = base::Milliseconds(5000);

}  // namespace

LoadTable::LoadTable(base::Clock clock) : clock_(std::move(clock)) {}

void LoadTable::DidHear(const std::string& collection,
                        const std::string& class_name,
                        std::int32_t low,
                        const std::string& region,
                        const ShardLoad& load,
                        base::Duration network) {
  const std::lock_guard lock(mutex_);
  rows_[{collection, class_name, low, region}] = {
      load.expected_wait, load.service_excess, clock_.Now()};
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
  const base::Duration age = clock_.Now() - row->second.heard;
  // A queue drains over time, but a leaf stays slow until a reply shows that it
  // has recovered. The excess therefore expires, so that a request probes the
  // region from time to time.
  const base::Duration excess = age < kExcessLifetime
                                    ? row->second.service_excess
                                    : base::Duration::zero();
  return std::max(base::Duration::zero(), row->second.wait - age) + excess;
}

base::Duration LoadTable::NetworkTime(const std::string& region,
                                      bool is_own_region) const {
  const std::lock_guard lock(mutex_);
  const auto row = network_.find(region);
  if (row != network_.end()) {
    return row->second;
  }
  return is_own_region ? kInitialOwnRegionTime : kInitialOtherRegionTime;
}

}  // namespace medlarspread::routing
