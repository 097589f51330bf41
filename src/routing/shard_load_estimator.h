// Estimates the length of a shard's queue and how long a new request would wait
// in it.

#ifndef MEDLARSPREAD_ROUTING_SHARD_LOAD_ESTIMATOR_H_
#define MEDLARSPREAD_ROUTING_SHARD_LOAD_ESTIMATOR_H_

#include <cstdint>
#include <string>

#include "src/base/clock.h"
#include "src/blackboard/blackboard.h"
#include "src/routing/leaf_times.h"
#include "src/routing/policy.h"
#include "src/routing/replica_pool.h"
#include "src/routing/shard_queues.h"
#include "src/routing/shard_request.h"

namespace medlarspread::routing {

// Used on one sequence. All arguments of the constructor must outlive it.
class ShardLoadEstimator {
 public:
  ShardLoadEstimator(const Policy& policy,
                     const base::Clock& clock,
                     const blackboard::Blackboard& blackboard,
                     ReplicaPool& replicas,
                     const ShardQueues& queues);

  // An answer arrived `service_time` after the send.
  void DidAnswer(const std::string& leaf, base::Duration service_time);

  // An attempt was cancelled after `time` without an answer.
  void DidTakeAtLeast(const std::string& leaf, base::Duration time);

  // The load that a new request of the same class as `request` would meet. The
  // expected wait stays zero under policies that do not report it.
  ShardLoad LoadOf(const ShardRequest& request);

 private:
  base::Duration ExpectedWait(const ShardRequest& request,
                              const ShardLoad& load,
                              double completions_per_second) const;

  const Policy policy_;
  const base::Clock clock_;
  const blackboard::Blackboard& blackboard_;
  ReplicaPool& replicas_;
  const ShardQueues& queues_;
  LeafTimes times_;
};

}  // namespace medlarspread::routing

#endif  // MEDLARSPREAD_ROUTING_SHARD_LOAD_ESTIMATOR_H_
