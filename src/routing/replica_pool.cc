// Chooses replicas by free capacity and utilization.

#include "src/routing/replica_pool.h"

#include <algorithm>
#include <utility>

namespace medlarspread::routing {

namespace {

// Smaller than the share of one slot of any leaf, so that it only decides ties.
constexpr double kTieBreak = 0.01;

}  // namespace

ReplicaPool::ReplicaPool(std::string collection,
                         const Policy& policy,
                         const blackboard::Blackboard& blackboard,
                         std::shared_ptr<base::Random> random,
                         std::shared_ptr<LeafWindows> windows)
    : collection_(std::move(collection)),
      policy_(policy),
      blackboard_(blackboard),
      random_(std::move(random)),
      windows_(std::move(windows)) {}

const ReplicaIndex& ReplicaPool::Index() {
  auto view = blackboard_.upstreams.Read();
  if (!index_ || index_->view() != view) {
    index_.emplace(std::move(view), collection_);
  }
  return *index_;
}

bool ReplicaPool::MayUse(const std::set<std::string>& tried,
                         const blackboard::Upstream& upstream) const {
  return !tried.contains(upstream.name) &&
         MaySendTo(policy_, *blackboard_.membership.Read(), upstream);
}

bool ReplicaPool::HasUsable(const ShardKey& shard,
                            const std::set<std::string>& tried) {
  const auto& replicas = Index().ReplicasOf(shard);
  return std::any_of(
      replicas.begin(), replicas.end(),
      [&](const auto* replica) { return MayUse(tried, *replica); });
}

double ReplicaPool::ScoreOf(const blackboard::Upstream& replica) {
  if (std::holds_alternative<RandomReplicaPolicy>(policy_)) {
    return random_->Unit();
  }
  return static_cast<double>(windows_->in_flight(replica)) /
             windows_->limit(replica) +
         kTieBreak * random_->Unit();
}

const blackboard::Upstream* ReplicaPool::Pick(
    const ShardKey& shard,
    const std::set<std::string>& exhausted) {
  const blackboard::Upstream* best = nullptr;
  double best_score = 0.0;
  for (const auto* replica : Index().ReplicasOf(shard)) {
    if (!MayUse(exhausted, *replica) || !windows_->has_room(*replica)) {
      continue;
    }
    const double score = ScoreOf(*replica);
    if (best == nullptr || score < best_score) {
      best = replica;
      best_score = score;
    }
  }
  return best;
}

std::vector<const blackboard::Upstream*> ReplicaPool::UsableReplicas(
    const ShardKey& shard) {
  std::vector<const blackboard::Upstream*> usable;
  for (const auto* replica : Index().ReplicasOf(shard)) {
    if (MayUse({}, *replica)) {
      usable.push_back(replica);
    }
  }
  return usable;
}

void ReplicaPool::AddInFlight(const ShardKey& shard, ShardLoad& load) {
  for (const auto* replica : UsableReplicas(shard)) {
    load.running += windows_->in_flight(*replica);
    load.slots += windows_->limit(*replica);
  }
}

}  // namespace medlarspread::routing
