// Builds one plan per known snapshot, then chooses among the plans.

#include "src/query/snapshot_chooser.h"

#include <utility>

namespace medlarspread::query {

namespace {

using blackboard::KeyRange;
using blackboard::kKeySpace;

// Rounding must not make a full plan miss a target of 1.
constexpr double kTolerance = 1e-9;

// NOTE: by contract with the upstreams, ranges of one snapshot do not overlap.
// If a leaf breaks the contract, the later of two overlapping ranges is skipped
// so that coverage is not counted twice.
void AddRange(SnapshotPlan& plan, const KeyRange& range) {
  if (!plan.ranges.empty() && range.low < plan.ranges.back().high) {
    return;
  }
  plan.ranges.push_back(range);
  plan.share += static_cast<double>(range.width()) / kKeySpace;
}

}  // namespace

std::optional<SnapshotPlan> ChooseSnapshot(
    const routing::ReplicaIndex& index,
    double coverage_target,
    const std::set<blackboard::Snapshot>& gone) {
  // The shards are ordered by snapshot, oldest first, then by range.
  std::vector<SnapshotPlan> plans;
  for (const auto& [shard, replicas] : index.shards()) {
    if (gone.contains(shard.snapshot)) {
      continue;
    }
    if (plans.empty() || plans.back().snapshot != shard.snapshot) {
      plans.push_back({shard.snapshot, {}, 0.0});
    }
    AddRange(plans.back(), shard.range);
  }
  std::optional<SnapshotPlan> best;
  for (auto plan = plans.rbegin(); plan != plans.rend(); ++plan) {
    if (plan->share + kTolerance >= coverage_target) {
      return std::move(*plan);
    }
    if (!best || plan->share > best->share + kTolerance) {
      best = std::move(*plan);
    }
  }
  return best;
}

}  // namespace medlarspread::query
