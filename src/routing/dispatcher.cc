// Queueing, replica assignment, second sends and retries for the shard requests
// of one collection.

#include "src/routing/dispatcher.h"

#include <algorithm>
#include <utility>

namespace medlarspread::routing {

namespace {

using base::Duration;
using base::ErrorCode;
using base::MonotonicTime;
using base::Step;
using upstream::LeafOutcome;

// Interval at which non-empty queues are pumped even if no reply triggers it: a
// leaf may have become usable through a change of the upstreams view.
constexpr Duration kPumpInterval = base::Milliseconds(10);
constexpr int kMaxRetries = 3;

// A request is in the queue at most twice: once for its first send (or a retry)
// and once for its second send.
std::uint64_t QueueIdOf(std::uint64_t job, bool is_second_send) {
  return job * 2 + (is_second_send ? 1 : 0);
}

// The outcome of a shard without an answer. A refusal promises that no leaf ran
// the request in any of its attempts.
ShardOutcome OutcomeWithoutAnswer(const ShardJob& job) {
  return job.may_have_run ? ShardOutcome::kUnknown : ShardOutcome::kRefused;
}

bool IsRefusal(LeafOutcome outcome) {
  return !upstream::MayHaveRun(outcome) && outcome != LeafOutcome::kAnswered;
}

}  // namespace

Dispatcher::Dispatcher(DispatcherOptions options,
                       base::Clock clock,
                       std::shared_ptr<base::Random> random,
                       base::TaskRunner runner,
                       const blackboard::Blackboard& blackboard,
                       std::shared_ptr<LeafWindows> windows,
                       DispatcherPorts ports)
    : options_(std::move(options)),
      clock_(std::move(clock)),
      random_(std::move(random)),
      runner_(std::move(runner)),
      blackboard_(blackboard),
      windows_(std::move(windows)),
      ports_(std::move(ports)),
      replicas_(options_.collection,
                options_.policy,
                blackboard,
                random_,
                windows_),
      queues_(blackboard, OrderOf(options_.policy)),
      loads_(options_.policy, clock_, blackboard, replicas_, queues_),
      second_sends_(options_.second_send_share) {}

std::uint64_t Dispatcher::Submit(ShardRequest request, ShardCallback done) {
  const std::uint64_t id = next_job_++;
  runner_.Post([self = shared_from_this(), id, request = std::move(request),
                done = std::move(done)]() mutable {
    self->DidSubmit(id, std::move(request), std::move(done));
  });
  return id;
}

void Dispatcher::Cancel(std::uint64_t id) {
  runner_.Post([self = shared_from_this(), id] {
    const auto row = self->jobs_.find(id);
    if (row != self->jobs_.end()) {
      const ShardKey key = row->second.key();
      self->Forget(id, row->second);
      self->Pump(key);
    }
  });
}

// Step 1.
void Dispatcher::DidSubmit(std::uint64_t id,
                           ShardRequest request,
                           ShardCallback done) {
  const MonotonicTime now = clock_.Now();
  ShardJob& job = jobs_[id];
  job.request = std::move(request);
  job.done = std::move(done);
  job.arrived = now;
  if (job.request.deadline <= now) {
    job.last_error = base::MakeError(ErrorCode::kExpired, Step::kQueue, "",
                                     "deadline had passed on arrival");
    GiveUp(id, ShardOutcome::kRefused);
    return;
  }
  if (!replicas_.HasUsable(job.key(), job.tried)) {
    job.last_error =
        base::MakeError(ErrorCode::kWrongSnapshot, Step::kQueue, "",
                        "no usable replica holds the shard in this snapshot");
    GiveUp(id, ShardOutcome::kWrongSnapshot);
    return;
  }
  job.deadline = runner_.After(
      job.request.deadline - now,
      [self = shared_from_this(), id] { self->DeadlineIsDue(id); });
  Enqueue(id, job, job.request.is_hedge);
  Pump(job.key());
}

void Dispatcher::Enqueue(std::uint64_t id, ShardJob& job, bool is_second_send) {
  job.is_queued = true;
  queues_.Push(job.key(), {.id = QueueIdOf(id, is_second_send),
                           .class_name = job.request.class_name,
                           .target_due = job.request.target_due,
                           .deadline = job.request.deadline,
                           .is_hedge = is_second_send});
  ScheduleTick();
}

// Step 2.
void Dispatcher::Pump(const ShardKey& key) {
  // Leaves that have capacity but that no queued request may be sent to.
  std::set<std::string> exhausted;
  while (true) {
    if (queues_.queued(key) == 0) {
      return;
    }
    const blackboard::Upstream* replica = replicas_.Pick(key, exhausted);
    if (replica == nullptr) {
      return;
    }
    // Sending may replace the index that `replica` points into.
    const blackboard::Upstream target = *replica;
    const auto queue_id =
        queues_.Pop(key, clock_.Now(), [&](const admission::QueueItem& item) {
          return replicas_.MayUse(jobs_.at(item.id / 2).tried, target);
        });
    if (!queue_id) {
      exhausted.insert(target.name);
      continue;
    }
    const std::uint64_t id = *queue_id / 2;
    ShardJob& job = jobs_.at(id);
    job.is_queued = false;
    Send(id, job, target);
  }
}

void Dispatcher::PumpLeaf(const blackboard::Upstream& upstream) {
  // NOTE: the leaf's holdings may have changed since the send; the periodic
  // tick pumps the queues that this misses.
  for (const auto& holding : upstream.holdings) {
    Pump(holding);
  }
}

void Dispatcher::PumpAll() {
  for (const ShardKey& key : queues_.keys()) {
    Pump(key);
  }
}

void Dispatcher::ScheduleTick() {
  if (is_tick_armed_) {
    return;
  }
  is_tick_armed_ = true;
  runner_.After(kPumpInterval, [self = shared_from_this()] {
    self->is_tick_armed_ = false;
    self->PumpAll();
    if (self->queues_.total_queued() > 0) {
      self->ScheduleTick();
    }
  });
}

void Dispatcher::Send(std::uint64_t id,
                      ShardJob& job,
                      const blackboard::Upstream& upstream) {
  const bool did_acquire = windows_->TryAcquire(upstream);
  if (!did_acquire) {
    // Another dispatcher has taken the free slot in the meantime.
    Enqueue(id, job, job.sends > 0);
    return;
  }
  const MonotonicTime now = clock_.Now();
  const std::string attempt_id = options_.attempt_prefix + "-" +
                                 options_.collection + "-" +
                                 std::to_string(next_attempt_++);
  job.attempts.push_back({attempt_id, upstream, now});
  job.tried.insert(upstream.name);
  ++job.sends;
  queues_.DidSend(job.key());
  if (job.sends == 1) {
    second_sends_.DidFirstSend();
    ArmSecondSend(id, job);
  }
  ports_.leaves.send(upstream, MakeLeafRequest(job.request, attempt_id, now),
                     [self = shared_from_this(), id, attempt_id, upstream, now,
                      key = job.key()](upstream::LeafReply reply) {
                       // Limits and delays are based on the time measured by
                       // this daemon, not on the one that the leaf reports.
                       reply.service_time = self->clock_.Now() - now;
                       self->runner_.Post([self, id, attempt_id, upstream, key,
                                           reply = std::move(reply)] {
                         self->ReleaseLeafSlot(key, upstream, reply);
                         self->DidReply(id, attempt_id, upstream, reply);
                         self->Pump(key);
                         self->PumpLeaf(upstream);
                       });
                     });
}

// Frees the slot at the leaf even if the request has been cancelled or finished
// in the meantime.
void Dispatcher::ReleaseLeafSlot(const ShardKey& key,
                                 const blackboard::Upstream& upstream,
                                 const upstream::LeafReply& reply) {
  windows_->Release(upstream.name, reply);
  queues_.DidFinish(key);
  ports_.observe(upstream.name, reply);
}

// Step 3. The delay starts at the send to the leaf, not at the arrival of the
// request: time spent in the queue does not indicate a slow replica.
void Dispatcher::ArmSecondSend(std::uint64_t id, ShardJob& job) {
  if (!HasSecondSends(options_.policy) || job.request.is_at_most_once ||
      job.request.is_hedge) {
    return;
  }
  const auto delay = second_sends_.Delay();
  if (!delay) {
    return;
  }
  job.second_send = runner_.After(
      *delay, [self = shared_from_this(), id] { self->SecondSendIsDue(id); });
}

void Dispatcher::SecondSendIsDue(std::uint64_t id) {
  const auto row = jobs_.find(id);
  if (row == jobs_.end() || row->second.did_second_send ||
      row->second.attempts.empty()) {
    return;
  }
  ShardJob& job = row->second;
  const bool has_other_replica = replicas_.HasUsable(job.key(), job.tried);
  if (!second_sends_.TakeBudget()) {
    return;
  }
  job.did_second_send = true;
  if (has_other_replica) {
    const ShardKey key = job.key();
    Enqueue(id, job, true);
    Pump(key);
    return;
  }
  ShardRequest request = job.request;
  request.is_hedge = true;
  job.is_forwarded = ports_.forward_second_send(
      request, [self = shared_from_this(), id](ShardResult result) {
        self->runner_.Post([self, id, result = std::move(result)]() mutable {
          self->DidForwardedReply(id, std::move(result));
        });
      });
  if (!job.is_forwarded) {
    second_sends_.ReturnBudget();
  }
}

void Dispatcher::DidForwardedReply(std::uint64_t id, ShardResult result) {
  const auto row = jobs_.find(id);
  if (row == jobs_.end()) {
    return;
  }
  ShardJob& job = row->second;
  job.is_forwarded = false;
  job.sends += result.sends;
  job.may_have_run =
      job.may_have_run || result.outcome == ShardOutcome::kUnknown;
  if (result.outcome == ShardOutcome::kAnswered) {
    Deliver(id, std::move(result));
  } else if (!job.is_pending()) {
    GiveUp(id, OutcomeWithoutAnswer(job));
  }
}

// Step 4.
void Dispatcher::DidReply(std::uint64_t id,
                          const std::string& attempt_id,
                          const blackboard::Upstream& upstream,
                          const upstream::LeafReply& reply) {
  if (reply.outcome == LeafOutcome::kAnswered) {
    second_sends_.DidReply(reply.service_time);
    loads_.DidAnswer(upstream.name, reply.service_time);
  }
  const auto row = jobs_.find(id);
  if (row == jobs_.end()) {
    return;
  }
  std::erase_if(row->second.attempts, [&](const ShardAttempt& attempt) {
    return attempt.id == attempt_id;
  });
  if (reply.outcome == LeafOutcome::kAnswered) {
    DidAnswer(id, upstream.name, reply);
  } else {
    DidFail(id, reply);
  }
}

void Dispatcher::DidAnswer(std::uint64_t id,
                           const std::string& leaf,
                           const upstream::LeafReply& reply) {
  retries_.DidSucceed();
  ShardResult result;
  result.outcome = ShardOutcome::kAnswered;
  result.items = reply.items;
  result.upstream = leaf;
  result.service_time = reply.service_time;
  Deliver(id, std::move(result));
}

void Dispatcher::DidFail(std::uint64_t id, const upstream::LeafReply& reply) {
  ShardJob& job = jobs_.at(id);
  job.last_error = reply.error;
  job.retry_after = std::max(job.retry_after, reply.retry_after);
  job.may_have_run = job.may_have_run || upstream::MayHaveRun(reply.outcome);
  switch (DecideAfterFailure(job, reply)) {
    case NextStep::kWaitForOthers:
      return;
    case NextStep::kRetryNow:
      ++job.retries;
      Enqueue(id, job, false);
      return;
    case NextStep::kRetryLater:
      ++job.retries;
      RetryLater(id, job);
      return;
    case NextStep::kGiveUp:
      break;
  }
  if (job.may_have_run) {
    GiveUp(id, ShardOutcome::kUnknown);
    return;
  }
  GiveUp(id, reply.outcome == LeafOutcome::kWrongSnapshot
                 ? ShardOutcome::kWrongSnapshot
                 : ShardOutcome::kRefused);
}

Dispatcher::NextStep Dispatcher::DecideAfterFailure(
    ShardJob& job,
    const upstream::LeafReply& reply) {
  if (job.is_pending()) {
    return NextStep::kWaitForOthers;
  }
  if (job.request.is_at_most_once && job.may_have_run) {
    return NextStep::kGiveUp;
  }
  const bool has_other_replica = replicas_.HasUsable(job.key(), job.tried);
  if (IsRefusal(reply.outcome) && has_other_replica) {
    // NOTE: a refusal costs the leaf almost nothing, so asking another replica
    // is not charged to the retry budget.
    return NextStep::kRetryNow;
  }
  const bool is_late = job.request.target_due <= clock_.Now();
  if (job.retries >= kMaxRetries || is_late || !retries_.Take()) {
    return NextStep::kGiveUp;
  }
  if (has_other_replica) {
    return NextStep::kRetryNow;
  }
  return reply.outcome == LeafOutcome::kShed ? NextStep::kRetryLater
                                             : NextStep::kGiveUp;
}

void Dispatcher::RetryLater(std::uint64_t id, ShardJob& job) {
  const Duration delay =
      std::max(job.retry_after, admission::Backoff(job.retries, *random_));
  if (clock_.Now() + delay >= job.request.deadline) {
    GiveUp(id, OutcomeWithoutAnswer(job));
    return;
  }
  // Only leaves that shed the request are retried, since they told when to
  // retry.
  job.tried.clear();
  job.is_backing_off = true;
  runner_.After(delay, [self = shared_from_this(), id] {
    const auto row = self->jobs_.find(id);
    if (row != self->jobs_.end()) {
      row->second.is_backing_off = false;
      self->Enqueue(id, row->second, false);
      self->Pump(row->second.key());
    }
  });
}

// Step 5.
void Dispatcher::DeadlineIsDue(std::uint64_t id) {
  const auto row = jobs_.find(id);
  if (row == jobs_.end()) {
    return;
  }
  ShardJob& job = row->second;
  const bool is_pending = !job.attempts.empty() || job.is_forwarded;
  job.last_error = base::MakeError(
      is_pending ? ErrorCode::kTimeout : ErrorCode::kExpired, Step::kQueue,
      job.attempts.empty() ? "" : job.attempts.front().upstream.address,
      "deadline passed");
  GiveUp(id, is_pending || job.may_have_run ? ShardOutcome::kUnknown
                                            : ShardOutcome::kRefused);
}

void Dispatcher::GiveUp(std::uint64_t id, ShardOutcome outcome) {
  const ShardJob& job = jobs_.at(id);
  ShardResult result;
  result.outcome = outcome;
  result.error = job.last_error;
  result.retry_after =
      std::max(job.retry_after, loads_.LoadOf(job.request).expected_wait);
  Deliver(id, std::move(result));
}

void Dispatcher::Deliver(std::uint64_t id, ShardResult result) {
  ShardJob& job = jobs_.at(id);
  result.sends = job.sends;
  result.held = clock_.Now() - job.arrived;
  ShardCallback done = std::move(job.done);
  const ShardRequest request = job.request;
  Forget(id, job);
  result.load = loads_.LoadOf(request);
  done(std::move(result));
}

void Dispatcher::CancelAttempts(ShardJob& job) {
  for (const ShardAttempt& attempt : job.attempts) {
    // A leaf that always loses to the second send never gets to answer, so the
    // time until the cancellation is recorded as a lower bound.
    loads_.DidTakeAtLeast(attempt.upstream.name, clock_.Now() - attempt.sent);
    ports_.leaves.cancel(attempt.upstream, attempt.id);
  }
}

void Dispatcher::Forget(std::uint64_t id, ShardJob& job) {
  CancelAttempts(job);
  job.second_send.Cancel();
  job.deadline.Cancel();
  const ShardKey key = job.key();
  queues_.Remove(key, QueueIdOf(id, false));
  queues_.Remove(key, QueueIdOf(id, true));
  jobs_.erase(id);
}

}  // namespace medlarspread::routing
