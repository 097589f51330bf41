// Estimates from the running mean of service times and the queue's order.

#include "src/routing/shard_load_estimator.h"

#include <algorithm>
#include <limits>

namespace medlarspread::routing {

namespace {

using base::Duration;

// Weight of the newest service time in the running mean.
constexpr double kMeanWeight = 0.05;
constexpr double kMicrosecondsPerSecond = 1e6;
// Behind every queued request that is due at the same time.
constexpr std::uint64_t kNewcomer = std::numeric_limits<std::uint64_t>::max();

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

void ShardLoadEstimator::DidAnswer(Duration service_time) {
  mean_service_ += Duration(static_cast<std::int64_t>(
      kMeanWeight *
      static_cast<double>((service_time - mean_service_).count())));
}

ShardLoad ShardLoadEstimator::LoadOf(const ShardRequest& request) {
  const ShardKey shard{request.snapshot, request.range};
  ShardLoad load;
  load.queued = static_cast<int>(queues_.queued(shard));
  replicas_.CountPlaces(shard, load);
  if (HasEntryGate(policy_)) {
    load.expected_wait = ExpectedWait(request, load);
  }
  return load;
}

Duration ShardLoadEstimator::ExpectedWait(const ShardRequest& request,
                                          const ShardLoad& load) const {
  const Duration per_slot = std::max(mean_service_, Duration(1));
  const int slots = std::max(1, load.slots);
  const int busy = std::max(0, load.running - load.slots + 1);
  const auto targets = blackboard_.targets.Read();
  const auto row = targets->classes.find(request.class_name);
  const admission::QueueItem newcomer{
      .id = kNewcomer,
      .class_name = request.class_name,
      .target_due = row == targets->classes.end()
                        ? request.target_due
                        : clock_.Now() + row->second.latency,
      .deadline = request.deadline,
      .is_hedge = false};
  const double completions_per_second =
      slots * kMicrosecondsPerSecond / static_cast<double>(per_slot.count());
  return per_slot * busy / slots +
         queues_.ExpectedWait({request.snapshot, request.range}, newcomer,
                              completions_per_second);
}

}  // namespace medlarspread::routing
