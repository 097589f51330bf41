// Builds the index from a view of the upstreams.

#include "src/routing/replica_index.h"

#include <utility>

namespace medlarspread::routing {

namespace {

bool MayBeGivenWork(const blackboard::Upstream& upstream) {
  return upstream.state == blackboard::UpstreamState::kServing ||
         upstream.state == blackboard::UpstreamState::kCold;
}

}  // namespace

ReplicaIndex::ReplicaIndex(
    std::shared_ptr<const blackboard::UpstreamsView> view,
    const std::string& collection)
    : view_(std::move(view)) {
  for (const auto& [name, upstream] : view_->upstreams) {
    if (upstream.collection != collection || !MayBeGivenWork(upstream)) {
      continue;
    }
    for (const blackboard::Holding& holding : upstream.holdings) {
      shards_[holding].push_back(&upstream);
    }
  }
}

const ReplicaIndex::Replicas& ReplicaIndex::ReplicasOf(
    const ShardKey& key) const {
  static const Replicas kNone;
  const auto row = shards_.find(key);
  return row == shards_.end() ? kNone : row->second;
}

}  // namespace medlarspread::routing
