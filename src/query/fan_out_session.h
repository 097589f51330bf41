// Handles one opaque request of a caller, from its arrival to its single
// answer.
//
// A request goes either to one collection or to all shards of its route. Both
// cases are handled alike: one collection is treated as one shard.
//
// Steps:
//   1. Each shard is sent to the leaf that is expected to reply first. A
//      request to all shards starts only once enough of them have a leaf with
//      capacity; if that takes too long, it is refused before anything is sent.
//   2. A shard whose reply is overdue is sent to a second leaf (a hedged send),
//      if the request is idempotent, the route's maximum of attempts allows it
//      and the collection's budget of extra sends is not used up. The first
//      reply is used. Until a shard has answered, only a few shards are hedged.
//   3. A failed send is retried at another leaf under the same conditions. A
//      request that is not idempotent is retried only if it certainly was not
//      executed.
//   4. If the request is a quarantine suspect, or if the connections to several
//      leaves broke before any leaf answered, it is sent to one leaf at a time
//      (a trial) until one has answered. If the connection breaks during a
//      trial, the session gives up.
//   5. The answer goes out when every shard has answered or failed; at the
//      class's latency target if the coverage target is met by then; after that
//      as soon as it is met; and at the deadline in any case. A part of a
//      request (GatherSession) waits for all its shards until Relax() is
//      called.
//
// Invariants: the caller is answered once; "refused" is answered only if
// nothing was sent that may have been executed; all shards of an answer are of
// the route's one revision.
//
// Runs on the traffic thread; the session keeps itself alive until the last
// send has ended.

#ifndef MEDLARSPREAD_QUERY_FAN_OUT_SESSION_H_
#define MEDLARSPREAD_QUERY_FAN_OUT_SESSION_H_

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "src/base/ablation.h"
#include "src/base/clock.h"
#include "src/base/log.h"
#include "src/base/task_runner.h"
#include "src/quarantine/quarantine.h"
#include "src/query/fan_out_shard.h"
#include "src/query/forwarded_request.h"
#include "src/routing/leaf_index.h"
#include "src/routing/leaf_tracker.h"
#include "src/upstream/forward_port.h"

namespace medlarspread::query {

// No send is started with less time than this left before the deadline.
constexpr base::Duration kMinTimeToSend = base::Milliseconds(2);
// A refused caller is told to retry after its latency target divided by this.
constexpr int kRetryAfterDivisor = 4;

struct FanOutDependencies {
  base::Clock clock;
  base::TaskRunner runner;
  upstream::ForwardPort leaves;
  std::shared_ptr<routing::LeafTracker> tracker;
  // The currently known leaves; never null.
  std::function<std::shared_ptr<const routing::LeafIndex>()> index;
  // Charges the collection's budget for a send beyond the first of a request;
  // absent if the budget is used up.
  std::function<std::optional<admission::Allowance>(
      const std::string& collection)>
      take_extra_send;
  // Credits the collection's budget for a request's first send to it.
  std::function<void(const std::string& collection)> did_request;
  // Called when a send beyond the first of its shard was started, and when a
  // send to a leaf ended.
  std::function<void(const ShardAttempt&)> did_repeat;
  std::function<void(const upstream::ForwardReply&)> did_end_send;
  std::shared_ptr<quarantine::Quarantine> quarantine;
  base::Log log;
  base::Ablation ablation = {};
};

// Statistics of a session, for metrics and the log.
struct FanOutSummary {
  base::Duration latency{};
  int shards = 0;
  int answered = 0;
  int sends = 0;
  int extra_sends = 0;
  // Sends that leaves refused for lack of capacity.
  int refusals = 0;
};

class FanOutSession : public std::enable_shared_from_this<FanOutSession> {
 public:
  using Done = std::function<void(ForwardedAnswer, const FanOutSummary&)>;

  // `collections` are the shards of the request.
  FanOutSession(std::shared_ptr<const FanOutDependencies> dependencies,
                ForwardedRequest request,
                std::vector<std::string> collections,
                Done done);

  void Start();
  // Calls `report` with the number of shards that have not answered yet.
  void Check(const std::function<void(int missing)>& report) const {
    report(missing());
  }
  // Allows an answer as soon as at most `most_missing` shards are missing.
  void Relax(int most_missing);
  // The number of shards without an answer; never increases.
  int missing() const { return static_cast<int>(shards_.size()) - answered_; }
  // Whether a leaf may have executed the request. Sends that have not left this
  // daemon yet count as not executed; a caller that relies on that must cancel
  // them.
  bool may_have_run() const;
  // Called when the caller has disconnected: cancels everything without an
  // answer. Returns false if the session had answered already.
  bool Abandon();

 private:
  // Why a send is cancelled; kTooLate is evidence that the leaf is slow.
  enum class CancelReason { kNotNeeded, kTooLate };

  using Attempt = ShardAttempt;
  using Shard = FanOutShard;

  // Whether as many shards as an answer needs have a leaf with capacity.
  bool HasCapacity() const;
  void SendAll();
  // The shards in the order in which they are sent. For trials of a suspect
  // request, the order depends on the request identifier.
  std::vector<Shard*> ShardsInSendOrder();
  // Starts the request if enough shards have capacity by now; refuses it once
  // it has waited too long.
  void CheckForCapacity(base::MonotonicTime now);
  void SendTo(Shard& shard,
              const blackboard::Upstream& leaf,
              SendCause cause,
              std::optional<admission::Allowance> paid);
  // Sends the shard to a leaf that it was not sent to yet. Returns false, and
  // sets the shard's `obstacle`, if no leaf is usable or the budget is used up.
  bool TrySend(Shard& shard, SendCause cause);
  // Like TrySend(), but also checks that the route and the remaining time allow
  // one more leaf.
  bool TrySendElsewhere(Shard& shard, SendCause cause);
  // Whether a send has to be paid for from the budget of extra sends.
  bool is_extra(SendCause cause) const;
  // Why NextLeaf() returned null.
  SendObstacle ObstacleOf(const Shard& shard) const;
  // Retries a shard for which no leaf was available; fails it once it has
  // waited too long.
  void SendWaiting(Shard& shard, base::MonotonicTime now);
  // Whether further sends must wait for a running trial to end.
  bool must_wait_for_trial() const;
  // Whether the quarantine forbids sending the request to leaves.
  bool is_quarantined() const;
  // Called when a leaf's connection broke during the request, and when a leaf
  // answered it.
  void DidLose(const Attempt& attempt);
  void DidCompleteSend();
  // Fails all open shards; their sends are cancelled or left to linger.
  void FailOpenShards();
  // Whether the route allows one more leaf.
  bool MaySendElsewhere(const Shard& shard) const;
  bool MayUse(const Shard& shard, const blackboard::Upstream& leaf) const;
  // Whether the coverage target can still be met if one more shard fails.
  bool can_spare_shard() const;
  // Schedules a retry at a leaf that refused for lack of capacity. Returns
  // false if a retry would not help.
  bool ScheduleRetry(Shard& shard);
  base::Duration RefusalPause() const;
  void RetryRefused(Shard& shard, base::MonotonicTime now);
  void DidReply(std::size_t shard,
                const std::shared_ptr<Attempt>& attempt,
                upstream::ForwardReply reply);
  void DidAnswer(Shard& shard, upstream::ForwardReply reply);
  void DidFail(Shard& shard,
               const Attempt& attempt,
               upstream::ForwardReply reply);
  void Settle(Shard& shard, ShardState state);
  // Cancels the send and notifies the leaf.
  void Cancel(Attempt& attempt, CancelReason reason);
  // Timer callback: handles all that is due of second sends, waiting shards,
  // the latency target and the deadline.
  void Wake();
  void StartSecondSends(base::MonotonicTime now);
  // Whether no more second sends may go out until a shard has answered.
  bool must_await_answer() const;
  void PrepareSecondSend(const Shard& shard);
  // The leaf that the shard would be sent to next; null if none is usable.
  const blackboard::Upstream* NextLeaf(const Shard& shard) const;
  upstream::Readiness ReadinessOf(const blackboard::Upstream& leaf) const;
  void ConcludeIfDue();
  void Conclude();
  void ConcludeFailed();
  void ArmTimer();
  base::MonotonicTime NextDue() const;
  void Finish(ForwardedAnswer answer);
  void LogAnswer(const ForwardedAnswer& answer) const;
  void LogFailedSend(const Shard& shard,
                     const Attempt& attempt,
                     const upstream::ForwardReply& reply) const;
  // Logs that the leaf was found to be replaced by another one at its address,
  // or that it is in use again.
  void LogReplaced(const blackboard::Upstream& leaf, bool is_replaced) const;
  // Lists the shards without an answer, each with its number of sends and the
  // reason why there were no more.
  std::string DescribeMissing() const;
  // Lists the sends beyond the first of each shard: cause, allowance that paid
  // for it, and leaf.
  std::string DescribeRepeats() const;

  // The delay after which a refused caller should retry: a fraction of its
  // latency target, so that the retry can still be answered in time.
  base::Duration retry_after() const {
    return route_.targets.latency / kRetryAfterDivisor;
  }
  bool is_gather() const;
  bool has(base::Mechanism mechanism) const {
    return dependencies_->ablation.has(mechanism);
  }
  base::Duration time_left() const {
    return deadline_ - dependencies_->clock.Now();
  }

  const std::shared_ptr<const FanOutDependencies> dependencies_;
  const ForwardedRequest request_;
  const blackboard::WorkRoute& route_;
  Done done_;
  const base::MonotonicTime arrived_;
  const base::MonotonicTime deadline_;
  // From this time on, `min_answers_` shards are enough for an answer.
  base::MonotonicTime target_due_;
  // The maximum number of leaves that one shard may be sent to.
  const int max_leaves_;
  std::vector<Shard> shards_;
  int min_answers_;
  int answered_ = 0;
  int settled_ = 0;
  int sends_ = 0;
  int extra_sends_ = 0;
  // Sends to another leaf because the reply was overdue.
  int second_sends_ = 0;
  int refusals_ = 0;
  // Sends whose connection broke before an answer; each may mean that the
  // leaf's process ended.
  int lost_ = 0;
  // Whether a send may have been executed without a usable answer.
  bool may_have_run_;
  // Whether the request is sent to one leaf at a time (step 4).
  bool is_sending_trials_ = false;
  bool is_given_up_ = false;
  // Nothing has been sent yet because too few shards had a leaf with capacity.
  bool is_waiting_for_capacity_ = false;
  bool is_finished_ = false;
  base::Error last_error_;
  base::Timer timer_;
  // When `timer_` is due; zero if it is not armed.
  base::MonotonicTime armed_;
};

}  // namespace medlarspread::query

#endif  // MEDLARSPREAD_QUERY_FAN_OUT_SESSION_H_
