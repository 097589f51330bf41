// The steps of fan_out_session.h.

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

// A leaf stops at its deadline; its answer must still reach the caller.
constexpr base::Duration kReplyMargin = Milliseconds(4);
// How often a shard looks for a leaf with room.
constexpr base::Duration kRoomInterval = Milliseconds(5);
// A request waits for a leaf with room for this part of its latency target:
// after that the caller does better to come back.
constexpr int kWaitShare = 5;
// A request to all shards waits for room at enough of them for this part of its
// latency target: a caller that is told then can come back and still be
// answered in time. If it were sent to those that have room, and failed for
// want of the others, their leaves had worked for nothing. In a burst of four
// times the usual requests 0.866 of the credit is earned with it where 0.797
// was (virtual fleet).
constexpr int kHoldShare = 8;
// The caller comes back after this part of its latency target.
constexpr int kReturnShare = 4;
// When to come back after a refusal: room appears within some service times,
// and a leaf that is down is replaced within seconds.
constexpr base::Duration kRetryAfter = Milliseconds(50);
// Until the times of a class are known, a second send follows after this part
// of its latency target.
constexpr int kFirstDelayShare = 3;
// A connection for a second send is opened after this part of its delay. To
// another region it takes 22 ms to open, as long as the delay itself.
constexpr int kPreparePercent = 55;
// A leaf that refused for want of room is asked again after this time; its
// slots turn over in about as much.
constexpr base::Duration kRefusalPause = Milliseconds(8);
// Sends of one shard, refused ones included.
constexpr int kMostSends = 5;

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
      first_payment_(request_.leaves_of_others > 0 ? Payment::kFromBudget
                                                   : Payment::kFree),
      most_leaves_(route_.most_attempts - request_.leaves_of_others),
      shards_(collections.size()),
      least_answers_(
          request_.is_part || !is_gather()
              ? static_cast<int>(collections.size())
              : LeastAnswers(route_, static_cast<int>(collections.size()))),
      may_have_run_(request_.leaves_of_others > 0) {
  for (std::size_t index = 0; index < collections.size(); ++index) {
    shards_[index].collection = std::move(collections[index]);
  }
}

void FanOutSession::Start() {
  if (time_left() < kLeastTimeLeft || shards_.empty()) {
    ConcludeFailed();
    return;
  }
  if (request_.leaves_of_others == 0) {
    for (const Shard& shard : shards_) {
      dependencies_->did_request(shard.collection);
    }
  }
  if (is_gather() && !request_.is_part && !HasRoom()) {
    is_held_ = true;
    ArmTimer();
    return;
  }
  SendAll();
}

bool FanOutSession::HasRoom() const {
  const auto with_room = std::count_if(
      shards_.begin(), shards_.end(),
      [this](const Shard& shard) { return NextLeaf(shard) != nullptr; });
  return with_room >= least_answers_;
}

void FanOutSession::SendAll() {
  const MonotonicTime now = dependencies_->clock.Now();
  for (Shard& shard : shards_) {
    shard.is_waiting = true;
    SendWaiting(shard, now);
  }
  ConcludeIfDue();
  if (!is_finished_) {
    ArmTimer();
  }
}

void FanOutSession::LookForRoom(MonotonicTime now) {
  if (HasRoom()) {
    is_held_ = false;
    SendAll();
    return;
  }
  const base::Duration target = route_.targets.latency;
  if (now - arrived_ < target / kHoldShare) {
    ArmTimer();
    return;
  }
  last_error_ =
      base::MakeError(ErrorCode::kOverloaded, Step::kForward, "",
                      "too few shards have a leaf with room; nothing was sent");
  Finish(Refused{request_.request_id, last_error_, target / kReturnShare,
                 RefusalKind::kOverload});
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
                                               : "the caller left") +
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

void FanOutSession::SendWaiting(Shard& shard, MonotonicTime now) {
  if (TrySend(shard, first_payment_)) {
    return;
  }
  const bool has_leaves =
      !dependencies_->index()->LeavesOf(shard.collection).empty();
  if (has_leaves && now - arrived_ < route_.targets.latency / kWaitShare) {
    return;
  }
  last_error_ =
      base::MakeError(ErrorCode::kUnavailable, Step::kForward, shard.collection,
                      has_leaves ? "no leaf has room" : "no leaf is known");
  shard.is_waiting = false;
  Settle(shard, ShardState::kFailed);
}

bool FanOutSession::TrySend(Shard& shard, Payment payment) {
  const auto index = dependencies_->index();
  const blackboard::Upstream* leaf = NextLeaf(shard);
  if (leaf == nullptr) {
    shard.obstacle = WhyNoLeaf(shard);
    return false;
  }
  if (payment == Payment::kFromBudget) {
    if (!dependencies_->take_extra_send(shard.collection)) {
      shard.obstacle = SendObstacle::kBudgetUsedUp;
      return false;
    }
    ++extra_sends_;
  }
  SendTo(shard, *leaf);
  return true;
}

bool FanOutSession::TrySendElsewhere(Shard& shard, Payment payment) {
  if (shard.leaves >= most_leaves_) {
    shard.obstacle = SendObstacle::kAttemptsUsedUp;
    return false;
  }
  if (time_left() < kReplyMargin + kLeastTimeLeft) {
    shard.obstacle = SendObstacle::kTooLate;
    return false;
  }
  return TrySend(shard, payment);
}

SendObstacle FanOutSession::WhyNoLeaf(const Shard& shard) const {
  const auto& leaves = dependencies_->index()->LeavesOf(shard.collection);
  const bool is_one_full =
      std::any_of(leaves.begin(), leaves.end(), [&](const auto* leaf) {
        return MayUse(shard, *leaf) && dependencies_->leaves.readiness(*leaf) ==
                                           upstream::Readiness::kFull;
      });
  return is_one_full ? SendObstacle::kNoRoom : SendObstacle::kNoLeaf;
}

const blackboard::Upstream* FanOutSession::NextLeaf(const Shard& shard) const {
  return dependencies_->tracker->Choose(
      dependencies_->index()->LeavesOf(shard.collection),
      {route_.targets.name, route_.targets.latency, route_.is_idempotent,
       is_one_optional()},
      [&](const blackboard::Upstream& leaf) { return MayUse(shard, leaf); },
      dependencies_->leaves.readiness);
}

bool FanOutSession::is_one_optional() const {
  const int failed = settled_ - answered_;
  return static_cast<int>(shards_.size()) - failed > least_answers_;
}

bool FanOutSession::MayUse(const Shard& shard,
                           const blackboard::Upstream& leaf) const {
  const bool is_further_leaf = !shard.refused.contains(leaf.name);
  if (is_further_leaf && shard.leaves >= most_leaves_) {
    return false;
  }
  return !shard.excluded.contains(leaf.name);
}

void FanOutSession::SendTo(Shard& shard, const blackboard::Upstream& leaf) {
  auto attempt = std::make_shared<Attempt>();
  attempt->leaf = leaf;
  attempt->sent = dependencies_->clock.Now();
  const base::Duration delay = dependencies_->tracker->SecondSendDelay(
      leaf, route_.targets.name, route_.targets.latency / kFirstDelayShare);
  attempt->prepare = attempt->sent + delay * kPreparePercent / 100;
  attempt->overdue = attempt->sent + delay;
  shard.excluded.insert(leaf.name);
  shard.leaves += shard.refused.erase(leaf.name) > 0 ? 0 : 1;
  ++shard.sends;
  shard.is_waiting = false;
  ++sends_;
  dependencies_->tracker->DidSend(leaf, attempt->sent);
  const auto shard_index = static_cast<std::size_t>(&shard - shards_.data());
  attempt->call = dependencies_->leaves.send(
      leaf, {request_.request_id, request_.message, time_left() - kReplyMargin},
      [self = shared_from_this(), shard_index, attempt](ForwardReply reply) {
        self->DidReply(shard_index, attempt, std::move(reply));
      });
  shard.attempts.push_back(std::move(attempt));
}

bool FanOutSession::MaySendElsewhere(const Shard& shard) const {
  return shard.leaves < most_leaves_ &&
         time_left() >= kReplyMargin + kLeastTimeLeft;
}

bool FanOutSession::PlanRepeat(Shard& shard) {
  const bool is_in_time =
      time_left() >= kRefusalPause + kReplyMargin + kLeastTimeLeft;
  if (!has(Mechanism::kRepeats) || shard.refused.empty() ||
      shard.sends >= kMostSends || !is_in_time) {
    return false;
  }
  for (const std::string& leaf : shard.refused) {
    shard.excluded.erase(leaf);
  }
  shard.again_at = dependencies_->clock.Now() + kRefusalPause;
  return true;
}

void FanOutSession::SendAgain(Shard& shard, MonotonicTime now) {
  if (shard.again_at == MonotonicTime{} || now < shard.again_at) {
    return;
  }
  shard.again_at = {};
  if (!TrySend(shard, Payment::kFromBudget)) {
    Settle(shard, ShardState::kFailed);
  }
}

void FanOutSession::DidReply(std::size_t shard_index,
                             const std::shared_ptr<Attempt>& attempt,
                             ForwardReply reply) {
  attempt->is_finished = true;
  attempt->call = {};
  const bool is_in_time = dependencies_->clock.Now() <= target_due_;
  dependencies_->tracker->DidReply(attempt->leaf, route_.targets.name,
                                   attempt->sent, is_in_time, reply);
  Shard& shard = shards_[shard_index];
  if (is_finished_ || shard.state != ShardState::kOpen) {
    return;
  }
  if (reply.outcome == LeafOutcome::kAnswered) {
    DidAnswer(shard, std::move(reply));
  } else {
    DidFail(shard, attempt->leaf.name, std::move(reply));
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
                            const std::string& leaf,
                            ForwardReply reply) {
  dependencies_->log.DidFail(reply.error, "a send to a leaf failed",
                             request_.request_id);
  last_error_ = reply.error;
  const bool did_not_run = IsCertainlyNotRun(reply.outcome);
  may_have_run_ = may_have_run_ || !did_not_run;
  const bool never_left = reply.outcome == LeafOutcome::kUnreachable;
  if (never_left) {
    --shard.leaves;
    --shard.sends;
  }
  if (reply.outcome == LeafOutcome::kShed) {
    shard.refused.insert(leaf);
    ++refusals_;
  }
  shard.reply = std::move(reply);
  if (shard.running() > 0) {
    return;
  }
  const bool may_repeat = route_.is_idempotent || did_not_run;
  const Payment payment = never_left ? Payment::kFree : Payment::kFromBudget;
  if (may_repeat && TrySendElsewhere(shard, payment)) {
    return;
  }
  if (may_repeat && PlanRepeat(shard)) {
    return;
  }
  Settle(shard, ShardState::kFailed);
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
    const bool is_witness =
        has(Mechanism::kLingering) &&
        dependencies_->tracker->TakeWitness(attempt->leaf, attempt->sent);
    if (is_witness) {
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
  if (is_held_) {
    LookForRoom(now);
    return;
  }
  for (Shard& shard : shards_) {
    if (shard.state == ShardState::kOpen && shard.is_waiting) {
      SendWaiting(shard, now);
    }
    if (shard.state == ShardState::kOpen) {
      SendAgain(shard, now);
    }
  }
  SecondSends(now);
  ConcludeIfDue();
  if (!is_finished_) {
    ArmTimer();
  }
}

void FanOutSession::SecondSends(MonotonicTime now) {
  for (Shard& shard : shards_) {
    if (shard.state != ShardState::kOpen || shard.attempts.empty()) {
      continue;
    }
    Attempt& latest = *shard.attempts.back();
    if (latest.is_finished || latest.was_overdue) {
      continue;
    }
    if (!latest.was_prepared && now >= latest.prepare) {
      latest.was_prepared = true;
      PrepareSecondSend(shard);
    }
    if (now < latest.overdue) {
      continue;
    }
    latest.was_overdue = true;
    dependencies_->tracker->DidStall(latest.leaf);
    if (route_.is_idempotent && has(Mechanism::kSecondSends)) {
      (void)TrySendElsewhere(shard, Payment::kFromBudget);
    }
  }
}

void FanOutSession::PrepareSecondSend(const Shard& shard) {
  if (!route_.is_idempotent || !MaySendElsewhere(shard) ||
      !has(Mechanism::kPreparedConnections)) {
    return;
  }
  const auto index = dependencies_->index();
  if (const blackboard::Upstream* leaf = NextLeaf(shard)) {
    dependencies_->leaves.prepare(*leaf);
  }
}

void FanOutSession::Relax(int most_missing) {
  if (is_finished_) {
    return;
  }
  const int total = static_cast<int>(shards_.size());
  least_answers_ = std::max(0, total - most_missing);
  target_due_ = dependencies_->clock.Now();
  ConcludeIfDue();
}

void FanOutSession::ConcludeIfDue() {
  const MonotonicTime now = dependencies_->clock.Now();
  const int total = static_cast<int>(shards_.size());
  const int failed = settled_ - answered_;
  if (!request_.is_part && total - failed < least_answers_) {
    ConcludeFailed();
    return;
  }
  const bool is_enough = answered_ >= least_answers_;
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

void FanOutSession::Conclude() {
  if (answered_ == 0) {
    ConcludeFailed();
    return;
  }
  if (!is_gather()) {
    Finish(PassedOn{std::move(shards_.front().reply.message)});
    return;
  }
  Gathered gathered;
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
  for (const Shard& shard : shards_) {
    may_have_run_ = may_have_run_ || shard.running() > 0 ||
                    shard.state == ShardState::kAnswered;
  }
  if (!is_gather() && !shards_.empty() &&
      shards_.front().reply.outcome == LeafOutcome::kFailed) {
    Finish(PassedOn{std::move(shards_.front().reply.message)});
    return;
  }
  if (may_have_run_) {
    Finish(Unknown{request_.request_id, last_error_});
    return;
  }
  if (!last_error_.code) {
    last_error_ = base::MakeError(ErrorCode::kUnavailable, Step::kForward, "",
                                  "no leaf may be sent to");
  }
  Finish(Refused{request_.request_id, last_error_, kRetryAfter,
                 RefusalKind::kUnavailable});
}

MonotonicTime FanOutSession::NextDue() const {
  const MonotonicTime now = dependencies_->clock.Now();
  if (is_held_) {
    return now + kRoomInterval;
  }
  MonotonicTime due = deadline_;
  if (now < target_due_) {
    due = std::min(due, target_due_);
  }
  for (const Shard& shard : shards_) {
    if (shard.state != ShardState::kOpen) {
      continue;
    }
    if (shard.is_waiting) {
      due = std::min(due, now + kRoomInterval);
    }
    if (shard.again_at != MonotonicTime{}) {
      due = std::min(due, shard.again_at);
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
  for (Shard& shard : shards_) {
    if (shard.state == ShardState::kOpen) {
      Settle(shard, ShardState::kFailed);
    }
  }
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

void FanOutSession::LogAnswer(const ForwardedAnswer& answer) const {
  dependencies_->log.Write(
      {.level = base::LogLevel::kInfo,
       .step = Step::kForward,
       .request_id = request_.request_id,
       .message =
           Describe(answer) + "; route=" + route_.targets.name +
           " revision=" + std::to_string(request_.routes_revision) + " ms=" +
           std::to_string((dependencies_->clock.Now() - arrived_).count() /
                          1000) +
           " sends=" + std::to_string(sends_) +
           " extra=" + std::to_string(extra_sends_) + DescribeMissing()});
}

std::string FanOutSession::DescribeMissing() const {
  std::string text;
  for (const Shard& shard : shards_) {
    if (shard.state == ShardState::kAnswered) {
      continue;
    }
    text += (text.empty() ? " missing=" : ",") + shard.collection +
            "/sends:" + std::to_string(shard.sends) +
            "/obstacle:" + kSendObstacleNames.NameOf(shard.obstacle);
    if (!shard.attempts.empty()) {
      text += "/last:" + shard.attempts.back()->leaf.name;
    }
  }
  return text;
}

bool FanOutSession::is_gather() const {
  return std::holds_alternative<blackboard::AllShards>(route_.destination);
}

}  // namespace medlarspread::query
