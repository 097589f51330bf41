// The steps of FanOutSession. The sends are in fan_out_sends.cc, the log
// messages in fan_out_log.cc.

#include "src/query/fan_out_session.h"

#include <algorithm>
#include <cassert>
#include <utility>

#include "src/query/route_targets.h"
#include "src/query/top_records.h"

namespace medlarspread::query {

namespace {

using base::ErrorCode;
using base::Mechanism;
using base::Milliseconds;
using base::MonotonicTime;
using base::Step;
using upstream::ForwardReply;
using upstream::LeafOutcome;

// How often a waiting shard checks for a leaf with capacity.
constexpr base::Duration kCapacityCheckInterval = Milliseconds(5);
// The number of connections that break before any answer after which the
// request is sent to one leaf at a time. A request that crashes leaves reaches
// the first leaf of each shard before that can be noticed; without trials it
// would reach the second ones too, and a shard with two leaves would lose both.
// A request that loses one or two leaves for another reason is not slowed down.
constexpr int kLossesBeforeTrial = 3;

bool IsCertainlyNotRun(LeafOutcome outcome) {
  return !upstream::MayHaveRun(outcome);
}

}  // namespace

FanOutSession::FanOutSession(
    std::shared_ptr<const FanOutDependencies> dependencies,
    ForwardedRequest request,
    std::vector<std::string> collections,
    Done done)
    : dependencies_(std::move(dependencies)),
      request_(std::move(request)),
      route_(*request_.route),
      done_(std::move(done)),
      arrived_(dependencies_->clock.Now()),
      deadline_(arrived_ + TimeToDeadline(request_)),
      target_due_(request_.is_part
                      ? deadline_
                      : arrived_ + TimeToTarget(route_, request_.waited)),
      max_leaves_(route_.most_attempts - request_.leaves_of_others),
      shards_(collections.size()),
      min_answers_(
          request_.is_part || !is_gather()
              ? static_cast<int>(collections.size())
              : MinAnswers(route_, static_cast<int>(collections.size()))),
      may_have_run_(request_.leaves_of_others > 0) {
  for (std::size_t index = 0; index < collections.size(); ++index) {
    shards_[index].collection = std::move(collections[index]);
  }
}

void FanOutSession::Start() {
  if (time_left() < kMinTimeToSend || shards_.empty()) {
    ConcludeFailed();
    return;
  }
  is_sending_trials_ =
      dependencies_->quarantine->StandingOf(request_.fingerprint) !=
      quarantine::Standing::kClear;
  if (is_gather() && !request_.is_part && !is_sending_trials_ &&
      !HasCapacity()) {
    is_waiting_for_capacity_ = true;
    ArmTimer();
    return;
  }
  SendAll();
}

bool FanOutSession::Abandon() {
  if (is_finished_) {
    return false;
  }
  is_finished_ = true;
  timer_.Cancel();
  for (Shard& shard : shards_) {
    for (const auto& attempt : shard.attempts) {
      if (!attempt->is_finished) {
        Cancel(*attempt, CancelReason::kNotNeeded);
      }
    }
  }
  dependencies_->log.Write(
      {.level = base::LogLevel::kInfo,
       .step = Step::kForward,
       .request_id = request_.request_id,
       .message = std::string(request_.is_part ? "no longer needed"
                                               : "the caller disconnected") +
                  "; cancelled " + std::to_string(sends_) + " sends"});
  done_ = nullptr;
  return true;
}

void FanOutSession::Cancel(Attempt& attempt, CancelReason reason) {
  attempt.is_finished = true;
  attempt.call.cancel();
  if (reason == CancelReason::kTooLate) {
    dependencies_->tracker->DidGiveUp(attempt.leaf, attempt.sent);
  } else {
    dependencies_->tracker->DidCancel(attempt.leaf, attempt.sent);
  }
}

void FanOutSession::DidReply(std::size_t shard_index,
                             const std::shared_ptr<Attempt>& attempt,
                             ForwardReply reply) {
  attempt->is_finished = true;
  attempt->call = {};
  dependencies_->did_end_send(reply);
  const bool is_in_time = dependencies_->clock.Now() <= target_due_;
  const bool was_replaced = dependencies_->tracker->is_replaced(attempt->leaf);
  dependencies_->tracker->DidReply(attempt->leaf, route_.targets.name,
                                   attempt->sent, is_in_time, reply);
  const bool is_replaced = dependencies_->tracker->is_replaced(attempt->leaf);
  if (is_replaced != was_replaced) {
    LogReplaced(attempt->leaf, is_replaced);
  }
  if (reply.outcome == LeafOutcome::kAnswered) {
    DidCompleteSend();
  } else if (reply.outcome == LeafOutcome::kLost) {
    DidLose(*attempt);
  }
  Shard& shard = shards_[shard_index];
  if (is_finished_ || shard.state != ShardState::kOpen) {
    return;
  }
  if (reply.outcome == LeafOutcome::kAnswered) {
    DidAnswer(shard, std::move(reply));
  } else {
    const bool is_fatal =
        attempt->is_trial && reply.outcome == LeafOutcome::kLost;
    is_given_up_ = is_given_up_ || is_fatal;
    DidFail(shard, *attempt, std::move(reply));
    if (is_given_up_) {
      FailOpenShards();
    }
  }
  if (!is_finished_) {
    ConcludeIfDue();
  }
  if (!is_finished_) {
    ArmTimer();
  }
}

void FanOutSession::DidAnswer(Shard& shard, ForwardReply reply) {
  shard.reply = std::move(reply);
  ++answered_;
  Settle(shard, ShardState::kAnswered);
}

void FanOutSession::DidFail(Shard& shard,
                            const Attempt& attempt,
                            ForwardReply reply) {
  LogFailedSend(shard, attempt, reply);
  last_error_ = reply.error;
  const bool did_not_run = IsCertainlyNotRun(reply.outcome);
  may_have_run_ = may_have_run_ || !did_not_run;
  const bool never_left = reply.outcome == LeafOutcome::kUnreachable;
  if (never_left) {
    --shard.leaves;
    --shard.sends;
  }
  if (reply.outcome == LeafOutcome::kShed) {
    shard.refused.insert(attempt.leaf.name);
    ++refusals_;
  }
  shard.reply = std::move(reply);
  if (shard.running() > 0) {
    return;
  }
  const bool may_repeat =
      !is_given_up_ && (route_.is_idempotent || did_not_run);
  const SendCause cause = never_left ? SendCause::kUnsent : SendCause::kFailed;
  if (may_repeat && must_wait_for_trial()) {
    shard.is_waiting = true;
    return;
  }
  if (may_repeat && TrySendElsewhere(shard, cause)) {
    return;
  }
  if (may_repeat && ScheduleRetry(shard)) {
    return;
  }
  Settle(shard, ShardState::kFailed);
}

void FanOutSession::DidLose(const Attempt& attempt) {
  ++lost_;
  dependencies_->quarantine->DidLose(request_.fingerprint, attempt.leaf,
                                     attempt.sent);
  is_sending_trials_ =
      is_sending_trials_ || (lost_ >= kLossesBeforeTrial && answered_ == 0);
}

void FanOutSession::DidCompleteSend() {
  is_sending_trials_ = false;
  dependencies_->quarantine->DidComplete(request_.fingerprint);
}

void FanOutSession::FailOpenShards() {
  for (Shard& shard : shards_) {
    if (shard.state == ShardState::kOpen) {
      Settle(shard, ShardState::kFailed);
    }
  }
}

bool FanOutSession::must_wait_for_trial() const {
  return is_sending_trials_ &&
         std::any_of(shards_.begin(), shards_.end(),
                     [](const Shard& shard) { return shard.running() > 0; });
}

bool FanOutSession::is_quarantined() const {
  if (request_.is_retrial) {
    return false;
  }
  const auto standing =
      dependencies_->quarantine->StandingOf(request_.fingerprint);
  return standing == quarantine::Standing::kAccused ||
         standing == quarantine::Standing::kConvicted;
}

void FanOutSession::Settle(Shard& shard, ShardState state) {
  assert(shard.state == ShardState::kOpen);
  shard.state = state;
  ++settled_;
  const bool is_late = dependencies_->clock.Now() >= target_due_;
  for (const auto& attempt : shard.attempts) {
    if (attempt->is_finished) {
      continue;
    }
    const bool is_awaited =
        has(Mechanism::kLingering) && attempt->call.has_left() &&
        dependencies_->tracker->AwaitLateReply(attempt->leaf, attempt->sent);
    if (is_awaited) {
      attempt->call.let_linger();
    } else {
      Cancel(*attempt,
             is_late ? CancelReason::kTooLate : CancelReason::kNotNeeded);
    }
  }
}

void FanOutSession::Wake() {
  if (is_finished_) {
    return;
  }
  const MonotonicTime now = dependencies_->clock.Now();
  if (is_waiting_for_capacity_) {
    CheckForCapacity(now);
    return;
  }
  for (Shard* shard : ShardsInSendOrder()) {
    if (shard->state == ShardState::kOpen && shard->is_waiting) {
      SendWaiting(*shard, now);
    }
    if (shard->state == ShardState::kOpen && !must_wait_for_trial()) {
      RetryRefused(*shard, now);
    }
  }
  StartSecondSends(now);
  ConcludeIfDue();
  if (!is_finished_) {
    ArmTimer();
  }
}

void FanOutSession::Relax(int most_missing) {
  if (is_finished_) {
    return;
  }
  const int total = static_cast<int>(shards_.size());
  min_answers_ = std::max(0, total - most_missing);
  target_due_ = dependencies_->clock.Now();
  ConcludeIfDue();
}

void FanOutSession::ConcludeIfDue() {
  const MonotonicTime now = dependencies_->clock.Now();
  const int total = static_cast<int>(shards_.size());
  const int failed = settled_ - answered_;
  if (!request_.is_part && total - failed < min_answers_) {
    ConcludeFailed();
    return;
  }
  const bool is_enough = answered_ >= min_answers_;
  if (settled_ == total || (now >= target_due_ && is_enough)) {
    Conclude();
    return;
  }
  if (now >= deadline_) {
    if (answered_ > 0 && (is_enough || request_.is_part)) {
      Conclude();
      return;
    }
    last_error_ = base::MakeError(ErrorCode::kTimeout, Step::kForward, "",
                                  "no answer before the deadline");
    ConcludeFailed();
  }
}

bool FanOutSession::may_have_run() const {
  return may_have_run_ || answered_ > 0 ||
         std::any_of(shards_.begin(), shards_.end(),
                     [](const Shard& shard) { return shard.may_be_running(); });
}

void FanOutSession::Conclude() {
  if (answered_ == 0) {
    ConcludeFailed();
    return;
  }
  if (!is_gather()) {
    Finish(LeafResponse{std::move(shards_.front().reply.message)});
    return;
  }
  MergedRecords gathered;
  std::vector<std::string> parts;
  for (Shard& shard : shards_) {
    if (shard.state == ShardState::kAnswered) {
      gathered.proofs.push_back(std::move(shard.reply.proof));
      parts.push_back(std::move(shard.reply.message.body()));
    }
  }
  gathered.missing = static_cast<int>(shards_.size()) - answered_;
  gathered.records = TopRecords(
      parts, std::get<blackboard::AllShards>(route_.destination).most_records);
  Finish(std::move(gathered));
}

void FanOutSession::ConcludeFailed() {
  may_have_run_ = may_have_run();
  if (!is_gather() && !shards_.empty() &&
      shards_.front().reply.outcome == LeafOutcome::kFailed) {
    Finish(LeafResponse{std::move(shards_.front().reply.message)});
    return;
  }
  if (may_have_run_) {
    Finish(Unknown{request_.request_id, last_error_});
    return;
  }
  if (!last_error_.code) {
    last_error_ = base::MakeError(ErrorCode::kUnavailable, Step::kForward, "",
                                  "no leaf can be used");
  }
  if (is_quarantined()) {
    Finish(Refused{
        request_.request_id,
        base::MakeError(ErrorCode::kQuarantined, Step::kForward, "",
                        "leaf processes have ended while running the request"),
        dependencies_->quarantine->RetryAfter(request_.fingerprint),
        RefusalKind::kQuarantined});
    return;
  }
  const bool did_reach_leaves =
      std::any_of(shards_.begin(), shards_.end(),
                  [](const Shard& shard) { return shard.sends > 0; });
  Finish(Refused{request_.request_id, last_error_, retry_after(),
                 RefusalKind::kUnavailable, did_reach_leaves});
}

MonotonicTime FanOutSession::NextDue() const {
  const MonotonicTime now = dependencies_->clock.Now();
  if (is_waiting_for_capacity_) {
    return now + kCapacityCheckInterval;
  }
  MonotonicTime due = deadline_;
  if (now < target_due_) {
    due = std::min(due, target_due_);
  }
  for (const Shard& shard : shards_) {
    if (shard.state != ShardState::kOpen) {
      continue;
    }
    const bool is_held = must_wait_for_trial() && shard.retry_at <= now;
    if (shard.is_waiting || is_held) {
      due = std::min(due, now + kCapacityCheckInterval);
    }
    if (shard.retry_at != MonotonicTime{} && !is_held) {
      due = std::min(due, shard.retry_at);
    }
    due = std::min(due, shard.SecondSendDue(due));
  }
  return due;
}

void FanOutSession::ArmTimer() {
  const MonotonicTime due = NextDue();
  if (armed_ != MonotonicTime{} && armed_ <= due) {
    return;
  }
  timer_.Cancel();
  armed_ = due;
  const base::Duration delay =
      std::max(base::Duration{}, due - dependencies_->clock.Now());
  timer_ = dependencies_->runner.After(delay, [self = shared_from_this()] {
    self->armed_ = {};
    self->Wake();
  });
}

void FanOutSession::Finish(ForwardedAnswer answer) {
  assert(!is_finished_);
  is_finished_ = true;
  timer_.Cancel();
  FailOpenShards();
  LogAnswer(answer);
  const FanOutSummary summary{dependencies_->clock.Now() - arrived_,
                              static_cast<int>(shards_.size()),
                              answered_,
                              sends_,
                              extra_sends_,
                              refusals_};
  const Done done = std::exchange(done_, nullptr);
  done(std::move(answer), summary);
}

bool FanOutSession::is_gather() const {
  return std::holds_alternative<blackboard::AllShards>(route_.destination);
}

}  // namespace medlarspread::query
