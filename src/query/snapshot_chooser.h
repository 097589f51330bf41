// Chooses the one snapshot that a query is answered from, before anything is
// asked: the newest that can meet the class's coverage target, else the one
// that covers most.

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
  // The shards that can be asked, ordered and free of overlaps.
  std::vector<blackboard::KeyRange> ranges;
  // Share of the key space that they cover.
  double share = 0.0;
};

// Nothing if no leaf holds anything. Snapshots in `gone` are not chosen.
std::optional<SnapshotPlan> ChooseSnapshot(
    const routing::ReplicaIndex& index,
    double coverage_target,
    const std::set<blackboard::Snapshot>& gone = {});

}  // namespace medlarspread::query

#endif  // MEDLARSPREAD_QUERY_SNAPSHOT_CHOOSER_H_
