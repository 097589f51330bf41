// Chooses the single snapshot that a query is answered from, before any shard
// is queried: the newest that can meet the class's coverage target, otherwise
// the one with the highest coverage.

#ifndef MEDLARSPREAD_QUERY_SNAPSHOT_CHOOSER_H_
#define MEDLARSPREAD_QUERY_SNAPSHOT_CHOOSER_H_

#include <optional>
#include <set>
#include <vector>

#include "src/blackboard/views.h"
#include "src/routing/replica_index.h"

namespace medlarspread::query {

struct SnapshotPlan {
  blackboard::Snapshot snapshot;
  // The ranges of the available shards, ordered and without overlaps.
  std::vector<blackboard::KeyRange> ranges;
  // The share of the key space that the ranges cover.
  double share = 0.0;
};

// Returns nullopt if no leaf holds a snapshot. Snapshots in `gone` are not
// chosen.
std::optional<SnapshotPlan> ChooseSnapshot(
    const routing::ReplicaIndex& index,
    double coverage_target,
    const std::set<blackboard::Snapshot>& gone = {});

}  // namespace medlarspread::query

#endif  // MEDLARSPREAD_QUERY_SNAPSHOT_CHOOSER_H_
