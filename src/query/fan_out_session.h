// One opaque request of a caller, from its arrival to its one answer.
//
// A request goes to one collection or to all shards of its route; both are the
// same here, since one collection is one shard.
//
// Steps:
//   1. Each shard is sent to the leaf that should reply first. A request to all
//      shards begins only once enough of them have a leaf with room; if that
//      takes long, it is refused before anything was sent.
//   2. A shard whose reply is overdue is sent to a second leaf, if the request
//      is idempotent, the route's attempts allow it and the collection's
//      budget pays for it. The first reply counts. Before any shard has
//      answered, only a few are.
//   3. A failed send is replaced by one to another leaf under the same
//      conditions. A request that is not idempotent is sent again only if it
//      certainly did not run.
//   4. A request that is suspect, or under which some leaves broke off before
//      any answered, is tried at one leaf at a time until one has answered. If
//      a leaf breaks off under a trial, the request is given up.
//   5. The answer goes out when every shard has settled; at the class's
//      latency target if the coverage target is met by then; after that as
//      soon as it is met; and at the deadline in any case. A part of a request
//      (GatherSession) waits for all its shards until it is told otherwise.
//
// Invariants: the caller is answered once; "refused" only if nothing was sent
// that may have run; all shards of an answer are of the route's one revision.
//
// Runs on the traffic thread; keeps itself alive until the last send ended.

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

// What a session is about to send may be cut by the deadline; less time than
// this is not worth a send.
constexpr base::Duration kLeastTimeLeft = base::Milliseconds(2);
// A caller comes back after this part of its latency target.
constexpr int kReturnShare = 4;

struct FanOutDependencies {
  base::Clock clock;
  base::TaskRunner runner;
  upstream::ForwardPort leaves;
  std::shared_ptr<routing::LeafTracker> tracker;
  // The leaves as they are known now; never null.
  std::function<std::shared_ptr<const routing::LeafIndex>()> index;
  // Takes a send beyond the first of a request to the collection from the
  // budget; absent if it is used up.
  std::function<std::optional<admission::Allowance>(
      const std::string& collection)>
      take_extra_send;
  // Tells the budget of a request's first send to the collection.
  std::function<void(const std::string& collection)> did_request;
  // A send beyond the first of its shard went out, and a send to a leaf ended.
  std::function<void(const ShardAttempt&)> did_repeat;
  std::function<void(upstream::LeafOutcome)> did_end_send;
  std::shared_ptr<quarantine::Quarantine> quarantine;
  base::Log log;
  base::Ablation ablation = {};
};

// How a session went, for metrics and the log.
struct FanOutSummary {
  base::Duration latency{};
  int shards = 0;
  int answered = 0;
  int sends = 0;
  int extra_sends = 0;
  // Sends that leaves refused for want of room.
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
  // Reports how many shards are missing now.
  void Check(const std::function<void(int missing)>& report) const {
    report(missing());
  }
  // Answer as soon as no more than so many shards are missing.
  void Relax(int most_missing);
  // Shards without an answer; never grows.
  int missing() const { return static_cast<int>(shards_.size()) - answered_; }
  // Whether a leaf may have run the request. What has not left this daemon yet
  // counts as not run: whoever relies on that cancels it.
  bool may_have_run() const;
  // The caller has left: everything is cancelled, and nobody is answered.
  // False if the session had answered already.
  bool Abandon();

 private:
  // Why nobody waits for a send any more: that its reply comes too late says
  // something of the leaf.
  enum class CancelReason { kNotNeeded, kTooLate };

  using Attempt = ShardAttempt;
  using Shard = FanOutShard;

  // Whether enough shards for an answer could be sent now.
  bool HasRoom() const;
  void SendAll();
  // The shards in the order in which they are to be sent. Each try of a suspect
  // has one of its own.
  std::vector<Shard*> InOrderOfSends();
  // Sends what was held back for want of room, or refuses it after a while.
  void LookForRoom(base::MonotonicTime now);
  void SendTo(Shard& shard,
              const blackboard::Upstream& leaf,
              SendCause cause,
              std::optional<admission::Allowance> paid);
  // Sends the shard to a leaf that it was not sent to yet; false if none may
  // take it or the budget is used up, which the shard then notes.
  bool TrySend(Shard& shard, SendCause cause);
  // The same for a further leaf, if the route and the time allow one.
  bool TrySendElsewhere(Shard& shard, SendCause cause);
  // Whether a send may reach a leaf beyond the first one of its request.
  bool is_extra(SendCause cause) const;
  // Why NextLeaf() finds none.
  SendObstacle WhyNoLeaf(const Shard& shard) const;
  // Sends a shard that found no leaf so far, or gives it up after a while.
  void SendWaiting(Shard& shard, base::MonotonicTime now);
  // Whether another send must wait until the running ones have ended.
  bool must_wait_for_trial() const;
  // Whether the request may reach leaves at all.
  bool is_quarantined() const;
  // A leaf broke off under the request, or answered it.
  void DidLose(const Attempt& attempt);
  void DidSurvive();
  // No shard is sent any more.
  void SettleOpenShards();
  // Whether the route allows one more leaf.
  bool MaySendElsewhere(const Shard& shard) const;
  bool MayUse(const Shard& shard, const blackboard::Upstream& leaf) const;
  // Whether the coverage target can be met without one more shard.
  bool is_one_optional() const;
  // Plans another send to a leaf that refused; false if that is no use.
  bool PlanRepeat(Shard& shard);
  base::Duration RefusalPause() const;
  void SendAgain(Shard& shard, base::MonotonicTime now);
  void DidReply(std::size_t shard,
                const std::shared_ptr<Attempt>& attempt,
                upstream::ForwardReply reply);
  void DidAnswer(Shard& shard, upstream::ForwardReply reply);
  void DidFail(Shard& shard,
               const std::string& leaf,
               upstream::ForwardReply reply);
  void Settle(Shard& shard, ShardState state);
  // The leaf hears of it.
  void Cancel(Attempt& attempt, CancelReason reason);
  // Second sends, waiting shards, the target and the deadline: all that is due.
  void Wake();
  void SecondSends(base::MonotonicTime now);
  // Whether a shard has to answer before more second sends go out.
  bool must_await_answer() const;
  void PrepareSecondSend(const Shard& shard);
  // The leaf that the shard would be sent to next; null if there is none.
  const blackboard::Upstream* NextLeaf(const Shard& shard) const;
  void ConcludeIfDue();
  void Conclude();
  void ConcludeFailed();
  void ArmTimer();
  base::MonotonicTime NextDue() const;
  void Finish(ForwardedAnswer answer);
  void LogAnswer(const ForwardedAnswer& answer) const;
  // What this daemon believes of the leaf has changed.
  void LogReplaced(const blackboard::Upstream& leaf, bool is_replaced) const;
  // The shards without an answer, each with its sends and what kept it from
  // more.
  std::string DescribeMissing() const;
  // The sends beyond the first of each shard: cause, what paid, leaf.
  std::string DescribeRepeats() const;

  // When a caller that is refused should come back: a part of its target, so
  // that it can still be answered in time.
  base::Duration retry_after() const {
    return route_.targets.latency / kReturnShare;
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
  // From then on an answer with `least_answers_` goes out.
  base::MonotonicTime target_due_;
  // Leaves that a shard may be sent to.
  const int most_leaves_;
  std::vector<Shard> shards_;
  int least_answers_;
  int answered_ = 0;
  int settled_ = 0;
  int sends_ = 0;
  int extra_sends_ = 0;
  // To another leaf, since the reply was overdue.
  int second_sends_ = 0;
  int refusals_ = 0;
  // Sends whose connection ended before an answer: each may be a leaf that
  // ended.
  int lost_ = 0;
  // A send to a leaf may have run without an answer that can be given.
  bool may_have_run_;
  // See step 4.
  bool is_trying_ = false;
  bool is_given_up_ = false;
  // Nothing was sent yet, since too few shards had a leaf with room.
  bool is_held_ = false;
  bool is_finished_ = false;
  base::Error last_error_;
  base::Timer timer_;
  // When `timer_` is due; zero if it is not armed.
  base::MonotonicTime armed_;
};

}  // namespace medlarspread::query

#endif  // MEDLARSPREAD_QUERY_FAN_OUT_SESSION_H_
