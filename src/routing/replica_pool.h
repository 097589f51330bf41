// The replicas that one dispatcher may send to, and the choice among those with
// free capacity.

#ifndef MEDLARSPREAD_ROUTING_REPLICA_POOL_H_
#define MEDLARSPREAD_ROUTING_REPLICA_POOL_H_

#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "src/base/random.h"
#include "src/blackboard/blackboard.h"
#include "src/routing/leaf_windows.h"
#include "src/routing/policy.h"
#include "src/routing/replica_index.h"
#include "src/routing/shard_request.h"

namespace medlarspread::routing {

// Used on one sequence. Returned pointers are valid until the next call.
class ReplicaPool {
 public:
  // `blackboard` must outlive the pool.
  ReplicaPool(std::string collection,
              const Policy& policy,
              const blackboard::Blackboard& blackboard,
              std::shared_ptr<base::Random> random,
              std::shared_ptr<LeafWindows> windows);

  // Whether a request that has already been sent to the leaves `tried` may go
  // to `upstream`.
  bool MayUse(const std::set<std::string>& tried,
              const blackboard::Upstream& upstream) const;

  // Whether any replica of the shard is left for such a request.
  bool HasUsable(const ShardKey& shard, const std::set<std::string>& tried);

  // The replica with the lowest utilization of its in-flight limit, or null if
  // none has free capacity. Ties are broken at random, so that daemons don't
  // all pick the same replica.
  const blackboard::Upstream* Pick(const ShardKey& shard,
                                   const std::set<std::string>& exhausted);

  // The replicas that this daemon may send to.
  std::vector<const blackboard::Upstream*> UsableReplicas(
      const ShardKey& shard);

  // Current in-flight limit of the replica.
  int LimitOf(const blackboard::Upstream& replica) {
    return windows_->limit(replica);
  }

  // Adds the requests in flight at the shard's replicas and their limits to
  // `load`.
  void AddInFlight(const ShardKey& shard, ShardLoad& load);

 private:
  const ReplicaIndex& Index();
  double ScoreOf(const blackboard::Upstream& replica);

  const std::string collection_;
  const Policy policy_;
  const blackboard::Blackboard& blackboard_;
  const std::shared_ptr<base::Random> random_;
  const std::shared_ptr<LeafWindows> windows_;
  // Replaced when the view of the upstreams changes.
  std::optional<ReplicaIndex> index_;
};

}  // namespace medlarspread::routing

#endif  // MEDLARSPREAD_ROUTING_REPLICA_POOL_H_
