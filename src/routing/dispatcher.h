// Sends the shard requests of one collection to the leaves that this daemon may
// use. A request waits in the queue of its shard, most urgent first, and is
// assigned to a leaf only when one of the shard's replicas has capacity. A late
// request is also sent to a second replica; a refused request is retried at
// another replica while the retry budget and the deadline allow it.
//
// All state belongs to one sequence. Steps of one request:
//   1. Submit() queues it.
//   2. Pump() assigns it to a replica with capacity and sends it.
//   3. If no reply has come after the second-send delay, step 2 runs again for
//      another replica, at the head of the queue.
//   4. DidReply() delivers the first complete answer and cancels the other
//      attempts; a refusal returns the request to step 1.
//   5. At the deadline, or when no replica is left to try, the request fails
//      immediately: with kRefused if it certainly did not run, with kUnknown
//      otherwise.

#ifndef MEDLARSPREAD_ROUTING_DISPATCHER_H_
#define MEDLARSPREAD_ROUTING_DISPATCHER_H_

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "src/admission/retry_budget.h"
#include "src/admission/second_send_policy.h"
#include "src/base/clock.h"
#include "src/base/random.h"
#include "src/base/task_runner.h"
#include "src/blackboard/blackboard.h"
#include "src/routing/leaf_windows.h"
#include "src/routing/policy.h"
#include "src/routing/replica_pool.h"
#include "src/routing/shard_job.h"
#include "src/routing/shard_load_estimator.h"
#include "src/routing/shard_queues.h"
#include "src/routing/shard_request.h"
#include "src/upstream/leaf_port.h"

namespace medlarspread::routing {

// External operations that a dispatcher calls.
struct DispatcherPorts {
  upstream::LeafPort leaves;
  // Called with every reply; the upstream controller uses it.
  std::function<void(const std::string& upstream, const upstream::LeafReply&)>
      observe;
  // Asks the owner in another region for a second send; returns false if no
  // other region has a replica.
  std::function<bool(const ShardRequest&, ShardCallback)> forward_second_send;
};

struct DispatcherOptions {
  std::string collection;
  // Makes attempt identifiers unique across daemons and incarnations.
  std::string attempt_prefix;
  Policy policy;
  // Upper bound on second sends as a share of first sends.
  double second_send_share = admission::SecondSendPolicy::kDefaultShare;
};

class Dispatcher : public std::enable_shared_from_this<Dispatcher> {
 public:
  Dispatcher(DispatcherOptions options,
             base::Clock clock,
             std::shared_ptr<base::Random> random,
             base::TaskRunner runner,
             const blackboard::Blackboard& blackboard,
             std::shared_ptr<LeafWindows> windows,
             DispatcherPorts ports);

  // Safe from any thread. `done` runs once, on this dispatcher's sequence,
  // unless the request is cancelled first.
  std::uint64_t Submit(ShardRequest request, ShardCallback done);
  // Safe from any thread. Drops the request and cancels its attempts.
  void Cancel(std::uint64_t job);

  // Numbers of requests that are queued or in flight; for status pages.
  int queued() const { return queues_.total_queued(); }
  int running() const { return queues_.total_running(); }

 private:
  // How to continue with a request after a failed attempt.
  enum class NextStep { kWaitForOthers, kRetryNow, kRetryLater, kGiveUp };

  void DidSubmit(std::uint64_t id, ShardRequest request, ShardCallback done);
  void Enqueue(std::uint64_t id, ShardJob& job, bool is_second_send);
  void Pump(const ShardKey& key);
  void PumpLeaf(const blackboard::Upstream& upstream);
  void PumpAll();
  void ScheduleTick();
  void Send(std::uint64_t id,
            ShardJob& job,
            const blackboard::Upstream& upstream);
  void ArmSecondSend(std::uint64_t id, ShardJob& job);
  void SecondSendIsDue(std::uint64_t id);
  void DidForwardedReply(std::uint64_t id, ShardResult result);
  void ReleaseLeafSlot(const ShardKey& key,
                       const blackboard::Upstream& upstream,
                       const upstream::LeafReply& reply);
  void DidReply(std::uint64_t id,
                const std::string& attempt_id,
                const blackboard::Upstream& upstream,
                const upstream::LeafReply& reply);
  void DidAnswer(std::uint64_t id,
                 const std::string& leaf,
                 const upstream::LeafReply& reply);
  void DidFail(std::uint64_t id, const upstream::LeafReply& reply);
  NextStep DecideAfterFailure(ShardJob& job, const upstream::LeafReply& reply);
  void RetryLater(std::uint64_t id, ShardJob& job);
  void DeadlineIsDue(std::uint64_t id);
  void GiveUp(std::uint64_t id, ShardOutcome outcome);
  void Deliver(std::uint64_t id, ShardResult result);
  void CancelAttempts(ShardJob& job);
  void Forget(std::uint64_t id, ShardJob& job);

  const DispatcherOptions options_;
  const base::Clock clock_;
  const std::shared_ptr<base::Random> random_;
  const base::TaskRunner runner_;
  const blackboard::Blackboard& blackboard_;
  const std::shared_ptr<LeafWindows> windows_;
  const DispatcherPorts ports_;

  std::atomic<std::uint64_t> next_job_ = 1;
  // The members below are used on `runner_` only.
  std::uint64_t next_attempt_ = 1;
  std::map<std::uint64_t, ShardJob> jobs_;
  ReplicaPool replicas_;
  ShardQueues queues_;
  ShardLoadEstimator loads_;
  admission::SecondSendPolicy second_sends_;
  admission::RetryBudget retries_;
  bool is_tick_armed_ = false;
};

}  // namespace medlarspread::routing

#endif  // MEDLARSPREAD_ROUTING_DISPATCHER_H_
