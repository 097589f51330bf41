// Index of the leaves that hold a shard, by snapshot and range. Built once per
// published view of the upstreams, because scanning all leaves for every shard
// request would cost more than the request itself.

#ifndef MEDLARSPREAD_ROUTING_REPLICA_INDEX_H_
#define MEDLARSPREAD_ROUTING_REPLICA_INDEX_H_

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "src/blackboard/views.h"

namespace medlarspread::routing {

// A shard of one collection: a range of the key space in one snapshot.
using ShardKey = blackboard::Holding;

class ReplicaIndex {
 public:
  using Replicas = std::vector<const blackboard::Upstream*>;

  // Indexes the leaves of `collection` that may be given work.
  ReplicaIndex(std::shared_ptr<const blackboard::UpstreamsView> view,
               const std::string& collection);

  const std::shared_ptr<const blackboard::UpstreamsView>& view() const {
    return view_;
  }
  // Empty if no leaf holds the shard.
  const Replicas& ReplicasOf(const ShardKey& key) const;

  // All shards that have a replica, ordered by snapshot, then by range.
  const std::map<ShardKey, Replicas>& shards() const { return shards_; }

 private:
  // Owns the upstreams that `shards_` points to.
  std::shared_ptr<const blackboard::UpstreamsView> view_;
  std::map<ShardKey, Replicas> shards_;
};

}  // namespace medlarspread::routing

#endif  // MEDLARSPREAD_ROUTING_REPLICA_INDEX_H_
