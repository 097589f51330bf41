// The steps of QuerySession.

#include "src/query/query_session.h"

#include <algorithm>
#include <utility>

#include "src/query/answer_outcome.h"

namespace medlarspread::query {

namespace {

using base::Duration;
using base::ErrorCode;
using base::Step;
using blackboard::KeyRange;
using routing::ShardOutcome;
using routing::ShardResult;

constexpr double kTolerance = 1e-9;
// The interval at which a session checks for silent owners of its shards.
constexpr Duration kSilenceCheckInterval = base::Milliseconds(50);
// The maximum number of daemons that are asked for one shard.
constexpr int kMaxTries = 3;
// The maximum number of snapshots that one query is started with.
constexpr int kMaxSnapshots = 3;
// Used when no retry delay is known.
constexpr Duration kDefaultRetryAfter = base::Milliseconds(1000);

}  // namespace

QuerySession::QuerySession(
    std::shared_ptr<const SessionDependencies> dependencies,
    CallerRequest request,
    blackboard::ClassTargets targets,
    std::int64_t targets_revision,
    AnswerCallback done)
    : dependencies_(std::move(dependencies)),
      runner_(dependencies_->runner.MakeSequence()),
      request_(std::move(request)),
      targets_(std::move(targets)),
      targets_revision_(targets_revision),
      query_(std::make_shared<const std::string>(request_.query)),
      done_(std::move(done)),
      arrived_(dependencies_->clock.Now()),
      arrived_wall_ms_(dependencies_->clock.WallMilliseconds()),
      target_due_(arrived_ + targets_.latency),
      deadline_(arrived_ + request_.deadline) {}

// Returns a callback that runs `step` unless the session has answered.
std::function<void()> QuerySession::Guarded(void (QuerySession::*step)()) {
  return [self = shared_from_this(), step] {
    if (!self->is_finished_) {
      (self.get()->*step)();
    }
  };
}

void QuerySession::Start() {
  runner_.Post(Guarded(&QuerySession::DoStart));
}

// Step 1.
void QuerySession::DoStart() {
  const auto decision = dependencies_->gate->Admit(
      targets_, SlowestExpectedWait(), request_.deadline);
  if (!decision.is_admitted) {
    Refuse(base::MakeError(ErrorCode::kOverloaded, Step::kAdmit, "",
                           "the leaves can't meet the class's target now"),
           decision.retry_after, RefusalKind::kOverload);
    return;
  }
  deadline_timer_ =
      runner_.After(request_.deadline, Guarded(&QuerySession::DeadlineIsDue));
  if (targets_.latency < request_.deadline) {
    target_timer_ =
        runner_.After(targets_.latency, Guarded(&QuerySession::TargetIsDue));
  }
  if (!is_at_most_once()) {
    ChooseSnapshotAndAsk();
    return;
  }
  // A claim makes the request identifier unusable for further claims, so it is
  // made only if there is a snapshot to query. The snapshot is chosen again
  // once the claim is granted.
  if (PlanSnapshot()) {
    Claim();
  }
}

// The longest expected queue wait over all shards of the query, by the latest
// reports.
Duration QuerySession::SlowestExpectedWait() const {
  const auto index = dependencies_->router->IndexOf(targets_.collection);
  const auto plan = ChooseSnapshot(*index, targets_.coverage);
  Duration slowest{};
  if (!plan) {
    return slowest;
  }
  for (const KeyRange& range : plan->ranges) {
    const auto destination = dependencies_->router->Choose(
        targets_.collection, targets_.name, {plan->snapshot, range}, {});
    if (destination) {
      slowest = std::max(slowest, destination->expected_delay);
    }
  }
  return slowest;
}

// Step 2.
void QuerySession::Claim() {
  constexpr int kNonceDigits = 16;
  dependencies_->claim(
      request_.request_id, dependencies_->random->Hexadecimal(kNonceDigits),
      deadline_ - dependencies_->clock.Now(),
      [self = shared_from_this()](const claims::ClaimResult& result) {
        self->runner_.Post([self, result] {
          // NOTE: a grant that arrives after the answer is never used: the
          // caller has been told that the outcome is unknown, and nothing is
          // sent.
          if (!self->is_finished_) {
            self->DidClaim(result);
          }
        });
      });
}

void QuerySession::DidClaim(const claims::ClaimResult& result) {
  switch (result.outcome) {
    case claims::ClaimOutcome::kGranted:
      ChooseSnapshotAndAsk();
      return;
    case claims::ClaimOutcome::kTaken:
      // Another submission of this request may be executing or have been
      // executed.
      Finish(Unknown{request_.request_id, result.error});
      return;
    case claims::ClaimOutcome::kUnsettled:
    case claims::ClaimOutcome::kRefused:
    case claims::ClaimOutcome::kExpired:
      // This daemon has sent nothing, and only the holder of a claim sends.
      Refuse(result.error, result.retry_after, RefusalKind::kUnavailable);
      return;
  }
}

// Step 3.
bool QuerySession::PlanSnapshot() {
  const auto index = dependencies_->router->IndexOf(targets_.collection);
  plan_ = ChooseSnapshot(*index, targets_.coverage, gone_);
  if (plan_ && !plan_->ranges.empty()) {
    return true;
  }
  Refuse(base::MakeError(ErrorCode::kUnavailable, Step::kSelectSnapshot, "",
                         "no upstream serves the collection"),
         kDefaultRetryAfter, RefusalKind::kUnavailable);
  return false;
}

void QuerySession::ChooseSnapshotAndAsk() {
  if (!PlanSnapshot()) {
    return;
  }
  ++generation_;
  builder_.emplace(plan_->snapshot, static_cast<int>(plan_->ranges.size()));
  shards_.clear();
  for (const KeyRange& range : plan_->ranges) {
    shards_[range] = Shard{};
  }
  Ask(plan_->ranges);
  silence_timer_ = runner_.After(kSilenceCheckInterval,
                                 Guarded(&QuerySession::CheckForSilentOwners));
}

// Step 4. Shards with the same owner are sent in one message.
void QuerySession::Ask(const std::vector<KeyRange>& ranges) {
  std::map<std::pair<std::string, std::string>, std::vector<KeyRange>> parts;
  for (const KeyRange& range : ranges) {
    Shard& shard = shards_.at(range);
    const auto destination = dependencies_->router->Choose(
        targets_.collection, targets_.name, {plan_->snapshot, range},
        shard.exclusions);
    if (!destination) {
      shard.state = may_have_run_ ? ShardState::kUnknown : ShardState::kRefused;
      if (!last_error_.code) {
        last_error_ = base::MakeError(ErrorCode::kUnavailable, Step::kForward,
                                      "", "no daemon can reach the shard");
      }
      continue;
    }
    shard.owner = destination->owner;
    shard.asked = dependencies_->clock.Now();
    ++shard.tries;
    parts[{destination->owner, destination->region}].push_back(range);
  }
  for (auto& [destination, part] : parts) {
    routing::SubQueryRequest sub_query;
    sub_query.owner = destination.first;
    sub_query.region = destination.second;
    sub_query.ranges = std::move(part);
    SendSubQuery(std::move(sub_query));
  }
  ConcludeIfSettled();
}

void QuerySession::SendSubQuery(routing::SubQueryRequest sub_query) {
  routing::ShardRequest& common = sub_query.common;
  common.request_id = request_.request_id;
  common.class_name = targets_.name;
  common.collection = targets_.collection;
  common.snapshot = plan_->snapshot;
  common.target_due = std::min(target_due_, deadline_);
  common.deadline = deadline_;
  common.query = query_;
  common.is_at_most_once = is_at_most_once();
  const int generation = generation_;
  const std::string owner = sub_query.owner;
  const std::string region = sub_query.region;
  sub_queries_.push_back(dependencies_->sub_queries->Send(
      std::move(sub_query),
      [self = shared_from_this(), generation, owner, region](
          const KeyRange& range, ShardResult result) {
        self->runner_.Post([self, generation, owner, region, range,
                            result = std::move(result)]() mutable {
          if (!self->is_finished_) {
            self->DidRangeResult(generation, owner, region, range,
                                 std::move(result));
          }
        });
      }));
}

// Step 5.
void QuerySession::DidRangeResult(int generation,
                                  const std::string& owner,
                                  const std::string& region,
                                  const KeyRange& range,
                                  ShardResult result) {
  upstream_sends_ += result.sends;
  const auto row = shards_.find(range);
  if (generation != generation_ || row == shards_.end() ||
      row->second.state == ShardState::kAnswered) {
    return;
  }
  if (result.outcome != ShardOutcome::kAnswered) {
    DidRangeFail(owner, region, range, result);
    return;
  }
  if (builder_->Add(range, std::move(result.items))) {
    row->second.state = ShardState::kAnswered;
  }
  ConcludeIfSettled();
}

void QuerySession::DidRangeFail(const std::string& owner,
                                const std::string& region,
                                const KeyRange& range,
                                const ShardResult& result) {
  Shard& shard = shards_.at(range);
  last_error_ = result.error;
  retry_after_ = std::max(retry_after_, result.retry_after);
  if (shard.owner != owner) {
    // Another daemon has been asked since; only its result is used.
    return;
  }
  const bool is_unknown = result.outcome == ShardOutcome::kUnknown;
  may_have_run_ = may_have_run_ || is_unknown;
  shard.state = is_unknown ? ShardState::kUnknown : ShardState::kRefused;
  const bool is_owner_lost = result.error.step == Step::kPeerLink ||
                             result.error.code == ErrorCode::kStopping;
  if (is_owner_lost) {
    shard.exclusions.owners.insert(owner);
  } else {
    shard.exclusions.regions.insert(region);
  }
  if (MayAskAgain(range, shard, result)) {
    shard.state = ShardState::kWaiting;
    Ask({range});
    return;
  }
  if (result.outcome == ShardOutcome::kWrongSnapshot && TryOtherSnapshot()) {
    return;
  }
  ConcludeIfSettled();
}

bool QuerySession::MayAskAgain(const KeyRange& range,
                               const Shard& shard,
                               const ShardResult& result) {
  const bool is_unknown = result.outcome == ShardOutcome::kUnknown;
  if (shard.tries >= kMaxTries || (is_unknown && is_at_most_once()) ||
      dependencies_->clock.Now() >= deadline_ ||
      !HasDestination(range, shard)) {
    return false;
  }
  // Retries of a shard that certainly was not executed put no load on
  // upstreams, and the loss of a daemon is rare. All other retries are charged
  // to the budget, so that failures cannot cause a retry storm.
  const bool is_free = !is_unknown || result.error.step == Step::kPeerLink;
  return is_free || dependencies_->retries->Take(targets_.name);
}

bool QuerySession::HasDestination(const KeyRange& range,
                                  const Shard& shard) const {
  return dependencies_->router
      ->Choose(targets_.collection, targets_.name, {plan_->snapshot, range},
               shard.exclusions)
      .has_value();
}

// Restarts the query when the snapshot is no longer held, or when the shards'
// owners do not know of it yet although this daemon does; the older snapshot
// still exists then. Never restarts an at-most-once request, because its other
// shards have been executed already.
bool QuerySession::TryOtherSnapshot() {
  if (is_at_most_once() || generation_ >= kMaxSnapshots) {
    return false;
  }
  gone_.insert(plan_->snapshot);
  const auto index = dependencies_->router->IndexOf(targets_.collection);
  const auto plan = ChooseSnapshot(*index, targets_.coverage, gone_);
  const bool is_worth_it =
      plan && (plan->snapshot > plan_->snapshot ||
               plan->share + kTolerance >= targets_.coverage);
  if (!is_worth_it) {
    return false;
  }
  for (const std::uint64_t id : std::exchange(sub_queries_, {})) {
    dependencies_->sub_queries->Cancel(id);
  }
  // Shards that were executed in this snapshot stay executed, even if the next
  // snapshot gives no answer.
  may_have_run_ = may_have_run_ ||
                  std::any_of(shards_.begin(), shards_.end(), [](auto& row) {
                    return row.second.state != ShardState::kRefused;
                  });
  silence_timer_.Cancel();
  ChooseSnapshotAndAsk();
  return true;
}

// A frozen daemon keeps its connections open. Its unanswered shards are sent to
// the next owner, within the retry budget.
void QuerySession::CheckForSilentOwners() {
  const auto now = dependencies_->clock.Now();
  std::vector<KeyRange> again;
  for (auto& [range, shard] : shards_) {
    if (shard.state != ShardState::kWaiting || is_at_most_once() ||
        shard.tries >= kMaxTries ||
        now - shard.asked < routing::SubQueryClient::kSilenceTimeout ||
        !dependencies_->sub_queries->is_silent(shard.owner)) {
      continue;
    }
    shard.exclusions.owners.insert(shard.owner);
    if (HasDestination(range, shard) &&
        dependencies_->retries->Take(targets_.name)) {
      may_have_run_ = true;
      again.push_back(range);
    }
  }
  if (!again.empty()) {
    Ask(again);
  }
  if (!is_finished_) {
    silence_timer_ = runner_.After(
        kSilenceCheckInterval, Guarded(&QuerySession::CheckForSilentOwners));
  }
}

// Step 6.
void QuerySession::TargetIsDue() {
  if (builder_ && builder_->shards_answered() > 0 &&
      builder_->MakeCoverage().share + kTolerance >= targets_.coverage) {
    Conclude();
  }
}

void QuerySession::DeadlineIsDue() {
  if (!builder_) {
    // The session is still waiting for the claim: nothing has been sent, and a
    // later grant is not used.
    Refuse(base::MakeError(ErrorCode::kTimeout, Step::kClaim, "",
                           "the claim was not settled before the deadline"),
           kDefaultRetryAfter, RefusalKind::kUnavailable);
    return;
  }
  const bool is_waiting = std::any_of(
      shards_.begin(), shards_.end(),
      [](const auto& row) { return row.second.state == ShardState::kWaiting; });
  if (is_waiting) {
    may_have_run_ = true;
    last_error_ = base::MakeError(ErrorCode::kTimeout, Step::kMerge, "",
                                  "deadline passed before all shards replied");
  }
  Conclude();
}

void QuerySession::ConcludeIfSettled() {
  if (is_finished_) {
    return;
  }
  for (const auto& [range, shard] : shards_) {
    if (shard.state == ShardState::kWaiting) {
      const bool is_late = dependencies_->clock.Now() >= target_due_;
      if (is_late) {
        TargetIsDue();
      }
      return;
    }
  }
  Conclude();
}

void QuerySession::Conclude() {
  if (builder_->shards_answered() > 0) {
    Answered answer;
    answer.request_id = request_.request_id;
    answer.snapshot = builder_->snapshot();
    answer.coverage = builder_->MakeCoverage();
    answer.latency = dependencies_->clock.Now() - arrived_;
    answer.items = builder_->MakeItems();
    Finish(std::move(answer));
  } else if (may_have_run_) {
    Finish(Unknown{request_.request_id, last_error_});
  } else {
    Refuse(last_error_, retry_after_, RefusalKind::kOverload);
  }
}

void QuerySession::Refuse(base::Error error,
                          Duration retry_after,
                          RefusalKind kind) {
  Finish(Refused{
      request_.request_id, std::move(error),
      retry_after > Duration::zero() ? retry_after : kDefaultRetryAfter, kind});
}

void QuerySession::Finish(CallerAnswer answer) {
  is_finished_ = true;
  target_timer_.Cancel();
  deadline_timer_.Cancel();
  silence_timer_.Cancel();
  for (const std::uint64_t id : sub_queries_) {
    dependencies_->sub_queries->Cancel(id);
  }
  Record(answer);
  std::exchange(done_, nullptr)(std::move(answer));
}

void QuerySession::Record(const CallerAnswer& answer) {
  burn::RequestRecord record;
  record.class_name = targets_.name;
  record.asked_wall_ms = arrived_wall_ms_;
  record.targets_revision = targets_revision_;
  record.latency_target = targets_.latency;
  record.coverage_target = targets_.coverage;
  record.latency_percentile = targets_.percentile;
  record.coverage_percentile = targets_.coverage_percentile;
  record.latency = dependencies_->clock.Now() - arrived_;
  record.upstream_sends = upstream_sends_;
  AddOutcome(answer, record);
  if (record.outcome == burn::RequestOutcome::kAnswered) {
    dependencies_->retries->DidSucceed(targets_.name);
  }
  dependencies_->record(record);
}

}  // namespace medlarspread::query
