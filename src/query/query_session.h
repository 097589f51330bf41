// Handles one request of a caller, from its arrival to its single answer. The
// callbacks and timers that refer to the session keep it alive.
//
// Steps:
//   1. Refuse a request at once if its targets cannot be met (admission).
//   2. Claim the request if it is not idempotent.
//   3. Choose the snapshot.
//   4. Send sub-queries to the owners of the shards' queues.
//   5. Collect results; retry failed shards elsewhere within the budget.
//   6. Answer: at once when every shard has answered; at the class's latency
//      target if the coverage target is met; otherwise when no further result
//      can arrive, at the deadline at the latest.

#ifndef MEDLARSPREAD_QUERY_QUERY_SESSION_H_
#define MEDLARSPREAD_QUERY_QUERY_SESSION_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "src/admission/entry_gate.h"
#include "src/admission/retry_budget.h"
#include "src/base/clock.h"
#include "src/base/random.h"
#include "src/base/task_runner.h"
#include "src/blackboard/blackboard.h"
#include "src/burn/request_record.h"
#include "src/claims/claim_port.h"
#include "src/query/answer_builder.h"
#include "src/query/caller_answer.h"
#include "src/query/caller_request.h"
#include "src/query/shared_retry_budget.h"
#include "src/query/snapshot_chooser.h"
#include "src/routing/router.h"
#include "src/routing/sub_query_client.h"

namespace medlarspread::query {

// Dependencies shared by all sessions of a daemon.
struct SessionDependencies {
  base::Clock clock;
  base::TaskRunner runner;
  std::shared_ptr<base::Random> random;
  const blackboard::Blackboard& blackboard;
  std::shared_ptr<routing::Router> router;
  std::shared_ptr<routing::SubQueryClient> sub_queries;
  std::shared_ptr<admission::EntryGate> gate;
  std::shared_ptr<SharedRetryBudget> retries;
  claims::ClaimPort claim;
  burn::RecordRequest record;
};

class QuerySession : public std::enable_shared_from_this<QuerySession> {
 public:
  // `done` runs once, on the session's own sequence.
  QuerySession(std::shared_ptr<const SessionDependencies> dependencies,
               CallerRequest request,
               blackboard::ClassTargets targets,
               std::int64_t targets_revision,
               AnswerCallback done);

  void Start();

 private:
  enum class ShardState { kWaiting, kAnswered, kRefused, kUnknown };

  struct Shard {
    ShardState state = ShardState::kWaiting;
    routing::Exclusions exclusions;
    // The daemon that was asked last, and the time of that.
    std::string owner;
    base::MonotonicTime asked;
    int tries = 0;
  };

  void DoStart();
  void Claim();
  void DidClaim(const claims::ClaimResult& result);
  // Chooses the snapshot; refuses the request if there is none.
  bool PlanSnapshot();
  void ChooseSnapshotAndAsk();
  void Ask(const std::vector<blackboard::KeyRange>& ranges);
  void SendSubQuery(routing::SubQueryRequest sub_query);
  void DidRangeResult(int generation,
                      const std::string& owner,
                      const std::string& region,
                      const blackboard::KeyRange& range,
                      routing::ShardResult result);
  void DidRangeFail(const std::string& owner,
                    const std::string& region,
                    const blackboard::KeyRange& range,
                    const routing::ShardResult& result);
  bool MayAskAgain(const blackboard::KeyRange& range,
                   const Shard& shard,
                   const routing::ShardResult& result);
  bool HasDestination(const blackboard::KeyRange& range,
                      const Shard& shard) const;
  bool TryOtherSnapshot();
  void CheckForSilentOwners();
  void TargetIsDue();
  void DeadlineIsDue();
  void ConcludeIfSettled();
  void Conclude();
  void Refuse(base::Error error, base::Duration retry_after, RefusalKind kind);
  void Finish(CallerAnswer answer);
  void Record(const CallerAnswer& answer);
  base::Duration SlowestExpectedWait() const;
  bool is_at_most_once() const { return !request_.is_idempotent; }
  std::function<void()> Guarded(void (QuerySession::*step)());

  const std::shared_ptr<const SessionDependencies> dependencies_;
  const base::TaskRunner runner_;
  const CallerRequest request_;
  const blackboard::ClassTargets targets_;
  const std::int64_t targets_revision_;
  const std::shared_ptr<const std::string> query_;
  AnswerCallback done_;
  const base::MonotonicTime arrived_;
  const std::int64_t arrived_wall_ms_;
  const base::MonotonicTime target_due_;
  const base::MonotonicTime deadline_;

  // The members below are used on `runner_` only.
  bool is_finished_ = false;
  // Snapshots that are not chosen again because a shard could not answer from
  // them.
  std::set<blackboard::Snapshot> gone_;
  // Incremented with each choice of a snapshot; results of an earlier
  // generation are dropped.
  int generation_ = 0;
  std::optional<SnapshotPlan> plan_;
  std::optional<AnswerBuilder> builder_;
  // Invariant: has exactly the ranges of `plan_`.
  std::map<blackboard::KeyRange, Shard> shards_;
  std::vector<std::uint64_t> sub_queries_;
  int upstream_sends_ = 0;
  // Set once a shard may have been executed without an answer.
  bool may_have_run_ = false;
  base::Error last_error_;
  base::Duration retry_after_{};
  base::Timer target_timer_;
  base::Timer deadline_timer_;
  base::Timer silence_timer_;
};

}  // namespace medlarspread::query

#endif  // MEDLARSPREAD_QUERY_QUERY_SESSION_H_
