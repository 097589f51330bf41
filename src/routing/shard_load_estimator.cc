// Estimates the wait from the running means of service times and the order of
// the queue.

#include "src/routing/shard_load_estimator.h"

#include <algorithm>
#include <limits>
#include <optional>

namespace medlarspread::routing {

namespace {

using base::Duration;

constexpr double kMicrosecondsPerSecond = 1e6;
// Sorts a new request behind all queued requests that are due at the same time.
constexpr std::uint64_t kLastInOrder =
    std::numeric_limits<std::uint64_t>::max();

}  // namespace

ShardLoadEstimator::ShardLoadEstimator(const Policy& policy,
                                       const base::Clock& clock,
                                       const blackboard::Blackboard& blackboard,
                                       ReplicaPool& replicas,
                                       const ShardQueues& queues)
    : policy_(policy),
      clock_(clock),
      blackboard_(blackboard),
      replicas_(replicas),
      queues_(queues) {}

void ShardLoadEstimator::DidAnswer(const std::string& leaf,
                                   Duration service_time) {
  times_.DidAnswer(leaf, service_time);
}

void ShardLoadEstimator::DidTakeAtLeast(const std::string& leaf,
                                        Duration time) {
  if (time > times_.MeanOf(leaf)) {
    times_.DidAnswer(leaf, time);
  }
}

ShardLoad ShardLoadEstimator::LoadOf(const ShardRequest& request) {
  const ShardKey shard{request.snapshot, request.range};
  ShardLoad load;
  load.queued = static_cast<int>(queues_.queued(shard));
  replicas_.AddInFlight(shard, load);
  const auto replicas = replicas_.UsableReplicas(shard);
  if (!HasEntryGate(policy_) || replicas.empty()) {
    return load;
  }
  // Each replica completes requests at its own rate. The smallest excess over
  // the typical service time determines how much longer than elsewhere a
  // request takes once it is sent.
  double completions_per_second = 0.0;
  std::optional<Duration> least_excess;
  for (const auto* replica : replicas) {
    completions_per_second +=
        replicas_.LimitOf(*replica) * kMicrosecondsPerSecond /
        static_cast<double>(times_.MeanOf(replica->name).count());
    const Duration excess = times_.ExcessOf(replica->name);
    least_excess = std::min(excess, least_excess.value_or(excess));
  }
  load.service_excess = least_excess.value_or(Duration::zero());
  load.expected_wait = ExpectedWait(request, load, completions_per_second);
  return load;
}

Duration ShardLoadEstimator::ExpectedWait(const ShardRequest& request,
                                          const ShardLoad& load,
                                          double completions_per_second) const {
  const int busy = std::max(0, load.running - load.slots + 1);
  const auto targets = blackboard_.targets.Read();
  const auto row = targets->classes.find(request.class_name);
  const admission::QueueItem new_item{
      .id = kLastInOrder,
      .class_name = request.class_name,
      .target_due = row == targets->classes.end()
                        ? request.target_due
                        : clock_.Now() + row->second.latency,
      .deadline = request.deadline,
      .is_hedge = false};
  const Duration until_free(static_cast<std::int64_t>(
      busy * kMicrosecondsPerSecond / completions_per_second));
  return until_free + queues_.ExpectedWait({request.snapshot, request.range},
                                           new_item, completions_per_second);
}

}  // namespace medlarspread::routing
