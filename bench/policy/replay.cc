// Events in virtual time; each step of a shard request is one small function.

#include "bench/policy/replay.h"

#include <algorithm>
#include <cmath>

namespace medlarspread::bench {
namespace {

constexpr double kMicrosecondsPerSecond = 1e6;
constexpr double kStragglerFactor = 10.0;
// The shape of the gamma distribution of service times.
constexpr double kShape = 2.0;
// A cancelled request holds its slot until the leaf has heard of it.
constexpr base::Duration kCancelDelay = base::Milliseconds(1);
// How old the queue lengths are that the gate sees, at most.
constexpr base::Duration kSweepInterval = base::Milliseconds(10);
// A caller waits for twice the latency target.
constexpr int kDeadlineMultiple = 2;
constexpr double kHalfLifeMilliseconds = 50.0;

double CompletionsPerSecond(const ReplayOptions& options) {
  const double mean_ms =
      options.mean_service_ms *
      (1.0 + options.straggler_share * (kStragglerFactor - 1.0));
  constexpr double kMillisecondsPerSecond = 1000.0;
  return options.replicas * options.slots * kMillisecondsPerSecond / mean_ms;
}

base::Duration FromSeconds(double seconds) {
  return base::Duration(
      static_cast<std::int64_t>(seconds * kMicrosecondsPerSecond));
}

}  // namespace

Replay::Replay(const ReplayOptions& options)
    : options_(options),
      completions_per_second_(CompletionsPerSecond(options)),
      end_(base::MonotonicTime{} + FromSeconds(options.seconds)),
      engine_(options.seed),
      time_(std::make_shared<base::ManualTime>(0, 0)),
      second_send_(options.second_send_share, options.second_send_multiple) {
  blackboard::TargetsView view;
  view.revision = 1;
  for (const ReplayClass& row : options.classes) {
    view.classes.emplace(row.targets.name, row.targets);
  }
  blackboard_.targets.Write(std::move(view));
  for (int i = 0; i < options.shards; ++i) {
    shards_.push_back(
        {.queue = admission::UrgencyQueue(blackboard_, options.order),
         .replicas = std::vector<admission::LeafWindow>(
             static_cast<std::size_t>(options.replicas),
             admission::LeafWindow(options.slots, options.slots)),
         .waiting = {}});
  }
}

ReplayResult Replay::Run() {
  ScheduleArrival();
  At(Now(), [this] { Sweep(); });
  while (!events_.empty()) {
    const Event event = events_.top();
    events_.pop();
    time_->Advance(event.time - Now());
    event.run();
  }
  return std::move(result_);
}

void Replay::At(base::MonotonicTime time, std::function<void()> run) {
  events_.push({std::max(time, Now()), next_order_++, std::move(run)});
}

void Replay::ScheduleArrival() {
  const double rate = options_.load * completions_per_second_;
  const double gap = std::exponential_distribution<>(rate)(engine_);
  const base::MonotonicTime time = Now() + FromSeconds(gap);
  if (time < end_) {
    At(time, [this] {
      Arrive();
      ScheduleArrival();
    });
  }
}

void Replay::Arrive() {
  const blackboard::ClassTargets& targets = DrawClass();
  ClassResult& row = result_.classes[targets.name];
  ++row.asked;
  const int entry = static_cast<int>(Unit() * options_.entries);
  if (options_.has_gate && !IsAdmitted(targets, entry)) {
    ++row.refused;
    return;
  }
  auto query = std::make_shared<Query>();
  query->class_name = targets.name;
  query->entry = entry;
  query->asked = Now();
  query->target_due = Now() + targets.latency;
  query->deadline = Now() + targets.latency * kDeadlineMultiple;
  query->shards_open = options_.shards;
  for (Shard& shard : shards_) {
    auto part = std::make_shared<Part>();
    part->query = query;
    Push(shard, part, false);
    Dispatch(shard);
  }
}

bool Replay::IsAdmitted(const blackboard::ClassTargets& targets, int entry) {
  return gate_
      .Admit(targets, KnownWait(targets.name, entry),
             targets.latency * kDeadlineMultiple)
      .is_admitted;
}

base::Duration Replay::KnownWait(const std::string& class_name,
                                 int entry) const {
  if (options_.news == WaitNews::kFresh) {
    const auto row = waits_.find(class_name);
    return row == waits_.end() ? base::Duration{} : row->second;
  }
  base::Duration slowest{};
  for (const Shard& shard : shards_) {
    const auto row = news_.find({entry, &shard, class_name});
    if (row == news_.end()) {
      continue;
    }
    const base::Duration age = Now() - row->second.heard;
    base::Duration wait = row->second.wait - age;
    if (options_.news == WaitNews::kRepliesHalved) {
      wait = base::Duration(static_cast<std::int64_t>(
          static_cast<double>(row->second.wait.count()) *
          std::exp2(-base::ToMilliseconds(age) / kHalfLifeMilliseconds)));
    }
    slowest = std::max(slowest, wait);
  }
  return slowest;
}

base::Duration Replay::TrueWait(const Shard& shard,
                                const ReplayClass& row) const {
  const admission::QueueItem item{
      .id = next_id_,
      .class_name = row.targets.name,
      .target_due = Now() + row.targets.latency,
      .deadline = Now() + row.targets.latency * kDeadlineMultiple,
      .is_hedge = false};
  return shard.queue.ExpectedWait(item, completions_per_second_);
}

void Replay::TellWaits(const Shard& shard, const Query& query) {
  for (const ReplayClass& row : options_.classes) {
    if (options_.news == WaitNews::kRepliesOfAll ||
        row.targets.name == query.class_name) {
      news_[{query.entry, &shard, row.targets.name}] = {TrueWait(shard, row),
                                                        Now()};
    }
  }
}

std::uint64_t Replay::Push(Shard& shard,
                           std::shared_ptr<Part> part,
                           bool is_hedge) {
  const std::uint64_t id = next_id_++;
  shard.queue.Push({.id = id,
                    .class_name = part->query->class_name,
                    .target_due = part->query->target_due,
                    .deadline = part->query->deadline,
                    .is_hedge = is_hedge});
  shard.waiting.emplace(id, std::move(part));
  return id;
}

void Replay::Dispatch(Shard& shard) {
  const auto can_send = [&shard](const admission::QueueItem& item) {
    return PickReplica(shard, *shard.waiting.at(item.id)) >= 0;
  };
  const auto has_room = [&shard] {
    return std::any_of(shard.replicas.begin(), shard.replicas.end(),
                       [](const auto& window) { return window.has_room(); });
  };
  while (has_room()) {
    const auto id = shard.queue.Pop(Now(), can_send);
    if (!id) {
      return;
    }
    const std::shared_ptr<Part> part = shard.waiting.extract(*id).mapped();
    if (part->hedge_id == *id) {
      part->hedge_id = 0;
    } else {
      second_send_.DidFirstSend();
    }
    Send(shard, part, PickReplica(shard, *part));
  }
}

int Replay::PickReplica(const Shard& shard, const Part& part) {
  int best = -1;
  int most_room = 0;
  for (int i = 0; i < static_cast<int>(shard.replicas.size()); ++i) {
    const auto& window = shard.replicas[static_cast<std::size_t>(i)];
    const int room = window.limit() - window.in_flight();
    const bool is_used =
        std::any_of(part.attempts.begin(), part.attempts.end(),
                    [i](const auto& attempt) { return attempt->replica == i; });
    if (!is_used && room > most_room) {
      best = i;
      most_room = room;
    }
  }
  return best;
}

void Replay::Send(Shard& shard, std::shared_ptr<Part> part, int replica) {
  shard.replicas[static_cast<std::size_t>(replica)].TryAcquire();
  ++result_.sends;
  auto attempt = std::make_shared<Attempt>();
  attempt->replica = replica;
  attempt->sent = Now();
  part->attempts.push_back(attempt);
  At(Now() + DrawService(), [this, &shard, part, attempt] {
    if (!attempt->is_over) {
      DidFinish(shard, part, attempt);
    }
  });
  const auto delay = second_send_.Delay();
  if (options_.second_send_share > 0 && delay && part->attempts.size() == 1) {
    At(Now() + *delay, [this, &shard, part] { MaySendAgain(shard, part); });
  }
}

void Replay::DidFinish(Shard& shard,
                       std::shared_ptr<Part> part,
                       std::shared_ptr<Attempt> attempt) {
  attempt->is_over = true;
  auto& window = shard.replicas[static_cast<std::size_t>(attempt->replica)];
  window.Release();
  window.DidReply(Now() - attempt->sent, false, Now());
  second_send_.DidReply(Now() - attempt->sent);
  if (!part->is_done) {
    part->is_done = true;
    if (options_.news != WaitNews::kFresh) {
      TellWaits(shard, *part->query);
    }
    ++result_.answers;
    CancelOthers(shard, *part);
    if (--part->query->shards_open == 0 && !part->query->is_lost) {
      DidAnswer(*part->query);
    }
  }
  Dispatch(shard);
}

void Replay::CancelOthers(Shard& shard, Part& part) {
  if (part.hedge_id != 0) {
    shard.queue.Remove(part.hedge_id);
    shard.waiting.erase(part.hedge_id);
    second_send_.ReturnBudget();
  }
  for (const auto& attempt : part.attempts) {
    if (attempt->is_over) {
      continue;
    }
    At(Now() + kCancelDelay, [this, &shard, attempt] {
      if (!attempt->is_over) {
        attempt->is_over = true;
        shard.replicas[static_cast<std::size_t>(attempt->replica)].Release();
        Dispatch(shard);
      }
    });
  }
}

void Replay::MaySendAgain(Shard& shard, std::shared_ptr<Part> part) {
  if (part->is_done || !second_send_.TakeBudget()) {
    return;
  }
  part->hedge_id = Push(shard, part, true);
  Dispatch(shard);
}

void Replay::DidAnswer(Query& query) {
  ClassResult& row = result_.classes[query.class_name];
  row.latencies_ms.push_back(base::ToMilliseconds(Now() - query.asked));
  row.in_target += Now() <= query.target_due ? 1 : 0;
}

void Replay::Sweep() {
  waits_.clear();
  for (Shard& shard : shards_) {
    for (const std::uint64_t id : shard.queue.TakeExpired(Now())) {
      const std::shared_ptr<Part> part = shard.waiting.extract(id).mapped();
      if (part->hedge_id != id && !part->query->is_lost) {
        part->query->is_lost = true;
        ++result_.classes[part->query->class_name].expired;
      }
    }
    for (const ReplayClass& row : options_.classes) {
      base::Duration& wait = waits_[row.targets.name];
      wait = std::max(wait, TrueWait(shard, row));
    }
  }
  if (Now() < end_) {
    At(Now() + kSweepInterval, [this] { Sweep(); });
  }
}

base::Duration Replay::DrawService() {
  double milliseconds = std::gamma_distribution<>(
      kShape, options_.mean_service_ms / kShape)(engine_);
  if (Unit() < options_.straggler_share) {
    milliseconds *= kStragglerFactor;
  }
  constexpr double kMicrosecondsPerMillisecond = 1000.0;
  return base::Duration(
      static_cast<std::int64_t>(milliseconds * kMicrosecondsPerMillisecond));
}

const blackboard::ClassTargets& Replay::DrawClass() {
  double left = Unit();
  for (const ReplayClass& row : options_.classes) {
    left -= row.share;
    if (left < 0) {
      return row.targets;
    }
  }
  return options_.classes.back().targets;
}

}  // namespace medlarspread::bench
