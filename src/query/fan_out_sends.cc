// The sending part of FanOutSession: selection of leaves, retries, second sends
// and waiting for capacity.

#include "src/query/fan_out_session.h"

#include <algorithm>
#include <map>
#include <utility>

#include "src/base/rendezvous.h"

namespace medlarspread::query {

namespace {

using base::ErrorCode;
using base::Mechanism;
using base::Milliseconds;
using base::MonotonicTime;
using base::Step;
using upstream::ForwardReply;

// A leaf's deadline is this much earlier than the caller's, so that an answer
// at the leaf's deadline still reaches the caller in time.
constexpr base::Duration kReplyMargin = Milliseconds(4);
// A shard waits for a leaf with capacity for at most the latency target divided
// by this; after that, a retry by the caller is more likely to succeed.
constexpr int kLeafWaitDivisor = 5;
// A request to all shards waits until enough shards have a leaf with capacity
// for at most the latency target divided by this, so that a refused caller can
// retry and still be answered in time. Sending it at once to the shards with
// capacity would waste their leaves' work if it then failed for lack of the
// others. In a burst of four times the usual request rate, 0.866 of the credit
// is earned with this wait, against 0.797 without it (virtual fleet).
constexpr int kCapacityWaitDivisor = 8;
// Until response times of a class have been measured, a second send follows
// after its latency target divided by this.
constexpr int kInitialDelayDivisor = 3;
// The maximum number of overdue shards that are sent to a second leaf before
// any shard has answered; once one has, all overdue shards are. If none
// answers, the request may be crashing its leaves, which is noticed only when
// the first connection breaks: by then each shard would have lost two leaves.
// If the nearby leaves are merely all slow, the first answer from elsewhere
// shows it one round trip later.
constexpr int kSecondSendsBeforeAnswer = 2;
// How often a session whose second sends are limited checks for an answer.
constexpr base::Duration kAnswerCheckInterval = Milliseconds(5);
// A connection for a second send is opened after this percentage of its delay.
// A connection to another region takes 22 ms to open, as long as the delay
// itself.
constexpr int kPreparePercent = 55;
// A leaf that refused for lack of capacity is retried after the typical service
// time of a request there, since its slots become free at about that rate.
// Until that time is known, and at most, the pause is the latency target
// divided by this.
constexpr int kRefusalPauseDivisor = 12;
// The maximum number of sends of one shard, including refused ones.
constexpr int kMaxSendsPerShard = 5;

}  // namespace

void FanOutSession::SendAll() {
  const MonotonicTime now = dependencies_->clock.Now();
  for (Shard& shard : shards_) {
    shard.is_waiting = true;
  }
  for (Shard* shard : ShardsInSendOrder()) {
    SendWaiting(*shard, now);
  }
  ConcludeIfDue();
  if (!is_finished_) {
    ArmTimer();
  }
}

// NOTE: if all daemons tried the shards in the route's order, the trials would
// crash the leaves of the first shards until none is left.
std::vector<FanOutShard*> FanOutSession::ShardsInSendOrder() {
  std::vector<Shard*> order;
  for (Shard& shard : shards_) {
    order.push_back(&shard);
  }
  if (!is_sending_trials_) {
    return order;
  }
  std::map<std::string, Shard*> by_collection;
  std::vector<std::string> collections;
  for (Shard* shard : order) {
    by_collection[shard->collection] = shard;
    collections.push_back(shard->collection);
  }
  collections =
      base::RankByRendezvous(request_.request_id, std::move(collections));
  std::transform(collections.begin(), collections.end(), order.begin(),
                 [&by_collection](const std::string& collection) {
                   return by_collection.at(collection);
                 });
  return order;
}

bool FanOutSession::HasCapacity() const {
  const auto with_room = std::count_if(
      shards_.begin(), shards_.end(),
      [this](const Shard& shard) { return NextLeaf(shard) != nullptr; });
  return with_room >= min_answers_;
}

void FanOutSession::CheckForCapacity(MonotonicTime now) {
  if (HasCapacity()) {
    is_waiting_for_capacity_ = false;
    SendAll();
    return;
  }
  const base::Duration target = route_.targets.latency;
  if (now - arrived_ < target / kCapacityWaitDivisor) {
    ArmTimer();
    return;
  }
  last_error_ = base::MakeError(
      ErrorCode::kOverloaded, Step::kForward, "",
      "too few shards have a leaf with capacity; nothing was sent");
  Finish(Refused{request_.request_id, last_error_, retry_after(),
                 RefusalKind::kOverload});
}

void FanOutSession::SendWaiting(Shard& shard, MonotonicTime now) {
  if (must_wait_for_trial()) {
    return;
  }
  const bool is_first = shard.sends == 0;
  if (TrySend(shard, is_first ? SendCause::kFirst : SendCause::kWaited)) {
    return;
  }
  const bool has_leaves =
      !dependencies_->index()->LeavesOf(shard.collection).empty() &&
      shard.obstacle != SendObstacle::kQuarantined;
  if (has_leaves &&
      now - arrived_ < route_.targets.latency / kLeafWaitDivisor) {
    return;
  }
  last_error_ =
      base::MakeError(ErrorCode::kUnavailable, Step::kForward, shard.collection,
                      has_leaves ? "no leaf has capacity" : "no leaf is known");
  shard.is_waiting = false;
  Settle(shard, ShardState::kFailed);
}

bool FanOutSession::is_extra(SendCause cause) const {
  switch (cause) {
    case SendCause::kFirst:
      // Another daemon may have made the first send already.
      return request_.leaves_of_others > 0;
    case SendCause::kUnsent:
      return false;
    case SendCause::kOverdue:
    case SendCause::kFailed:
    case SendCause::kRefused:
    case SendCause::kWaited:
      return true;
  }
  return true;
}

bool FanOutSession::TrySend(Shard& shard, SendCause cause) {
  if (is_quarantined()) {
    shard.obstacle = SendObstacle::kQuarantined;
    return false;
  }
  const auto index = dependencies_->index();
  const blackboard::Upstream* leaf = NextLeaf(shard);
  if (leaf == nullptr) {
    shard.obstacle = ObstacleOf(shard);
    return false;
  }
  std::optional<admission::Allowance> paid;
  if (is_extra(cause)) {
    paid = dependencies_->take_extra_send(shard.collection);
    if (!paid) {
      shard.obstacle = SendObstacle::kBudgetUsedUp;
      return false;
    }
    ++extra_sends_;
  }
  SendTo(shard, *leaf, cause, paid);
  return true;
}

bool FanOutSession::TrySendElsewhere(Shard& shard, SendCause cause) {
  if (shard.leaves >= max_leaves_) {
    shard.obstacle = SendObstacle::kAttemptsUsedUp;
    return false;
  }
  if (time_left() < kReplyMargin + kMinTimeToSend) {
    shard.obstacle = SendObstacle::kTooLate;
    return false;
  }
  return TrySend(shard, cause);
}

SendObstacle FanOutSession::ObstacleOf(const Shard& shard) const {
  const auto& leaves = dependencies_->index()->LeavesOf(shard.collection);
  const bool is_one_full =
      std::any_of(leaves.begin(), leaves.end(), [&](const auto* leaf) {
        return MayUse(shard, *leaf) &&
               ReadinessOf(*leaf) == upstream::Readiness::kFull;
      });
  return is_one_full ? SendObstacle::kNoRoom : SendObstacle::kNoLeaf;
}

const blackboard::Upstream* FanOutSession::NextLeaf(const Shard& shard) const {
  return dependencies_->tracker->Choose(
      dependencies_->index()->LeavesOf(shard.collection),
      {route_.targets.name, route_.targets.latency, route_.is_idempotent,
       can_spare_shard()},
      [&](const blackboard::Upstream& leaf) { return MayUse(shard, leaf); },
      [this](const blackboard::Upstream& leaf) { return ReadinessOf(leaf); });
}

upstream::Readiness FanOutSession::ReadinessOf(
    const blackboard::Upstream& leaf) const {
  return dependencies_->leaves.readiness(leaf, request_.request_id);
}

bool FanOutSession::can_spare_shard() const {
  const int failed = settled_ - answered_;
  return static_cast<int>(shards_.size()) - failed > min_answers_;
}

bool FanOutSession::MayUse(const Shard& shard,
                           const blackboard::Upstream& leaf) const {
  const bool is_further_leaf = !shard.refused.contains(leaf.name);
  if (is_further_leaf && shard.leaves >= max_leaves_) {
    return false;
  }
  return !shard.excluded.contains(leaf.name);
}

void FanOutSession::SendTo(Shard& shard,
                           const blackboard::Upstream& leaf,
                           SendCause cause,
                           std::optional<admission::Allowance> paid) {
  auto attempt = std::make_shared<Attempt>();
  attempt->leaf = leaf;
  attempt->cause = cause;
  attempt->paid = paid;
  attempt->sent = dependencies_->clock.Now();
  const base::Duration delay = dependencies_->tracker->SecondSendDelay(
      leaf, route_.targets.name, route_.targets.latency / kInitialDelayDivisor);
  attempt->prepare = attempt->sent + delay * kPreparePercent / 100;
  attempt->overdue = attempt->sent + delay;
  attempt->is_trial = is_sending_trials_;
  // A request is credited to the budget once, by the daemon that makes its
  // first send: a part may be handed to several daemons, of which one sends it.
  if (cause == SendCause::kFirst && !paid &&
      !std::exchange(shard.is_credited, true)) {
    dependencies_->did_request(shard.collection);
  }
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
  attempt->connection = attempt->call.connection;
  if (cause != SendCause::kFirst || paid) {
    dependencies_->did_repeat(*attempt);
  }
  shard.attempts.push_back(std::move(attempt));
}

bool FanOutSession::MaySendElsewhere(const Shard& shard) const {
  return shard.leaves < max_leaves_ &&
         time_left() >= kReplyMargin + kMinTimeToSend;
}

base::Duration FanOutSession::RefusalPause() const {
  const base::Duration most = route_.targets.latency / kRefusalPauseDivisor;
  const base::Duration work =
      dependencies_->tracker->UnloadedServiceTime(route_.targets.name);
  return work == base::Duration{} ? most : std::min(work, most);
}

bool FanOutSession::ScheduleRetry(Shard& shard) {
  const bool is_in_time =
      time_left() >= RefusalPause() + kReplyMargin + kMinTimeToSend;
  if (!has(Mechanism::kRepeats) || shard.refused.empty() ||
      shard.sends >= kMaxSendsPerShard || !is_in_time) {
    return false;
  }
  for (const std::string& leaf : shard.refused) {
    shard.excluded.erase(leaf);
  }
  shard.retry_at = dependencies_->clock.Now() + RefusalPause();
  return true;
}

void FanOutSession::RetryRefused(Shard& shard, MonotonicTime now) {
  if (shard.retry_at == MonotonicTime{} || now < shard.retry_at) {
    return;
  }
  shard.retry_at = {};
  if (!TrySend(shard, SendCause::kRefused)) {
    Settle(shard, ShardState::kFailed);
  }
}

void FanOutSession::StartSecondSends(MonotonicTime now) {
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
      if (!is_sending_trials_) {
        PrepareSecondSend(shard);
      }
    }
    if (now < latest.overdue) {
      continue;
    }
    if (!std::exchange(latest.is_known_late, true)) {
      dependencies_->tracker->DidStall(latest.leaf, route_.targets.name,
                                       now - latest.sent);
    }
    if (must_await_answer()) {
      latest.overdue = now + kAnswerCheckInterval;
      continue;
    }
    latest.was_overdue = true;
    if (route_.is_idempotent && !is_sending_trials_ &&
        has(Mechanism::kSecondSends)) {
      second_sends_ += TrySendElsewhere(shard, SendCause::kOverdue) ? 1 : 0;
    }
  }
}

bool FanOutSession::must_await_answer() const {
  return is_gather() && answered_ == 0 &&
         second_sends_ >= kSecondSendsBeforeAnswer;
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

}  // namespace medlarspread::query
