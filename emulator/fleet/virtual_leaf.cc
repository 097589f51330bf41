// Slots, queue and pauses of a virtual leaf.

#include "emulator/fleet/virtual_leaf.h"

#include <algorithm>
#include <utility>

namespace medlarspread::emulator {

using upstream::LeafOutcome;

VirtualLeaf::VirtualLeaf(blackboard::Upstream upstream,
                         const LeafPlan& plan,
                         double speed,
                         base::Clock clock,
                         base::TaskRunner runner,
                         std::shared_ptr<base::Random> random)
    : upstream_(std::move(upstream)),
      plan_(plan),
      speed_(speed),
      clock_(std::move(clock)),
      runner_(std::move(runner)),
      random_(std::move(random)),
      pause_phase_(static_cast<std::int64_t>(
          random_->Unit() *
          static_cast<double>(plan_.pause_interval.count()))) {}

std::uint64_t VirtualLeaf::Submit(Job job) {
  const std::uint64_t number = ++numbers_;
  if (is_down_) {
    job.done(LeafOutcome::kLost);
    return number;
  }
  if (!tenant_.empty()) {
    job.done(LeafOutcome::kReplaced);
    return number;
  }
  if (faults_.is_dark) {
    return number;
  }
  const bool is_full = running_.size() >= static_cast<std::size_t>(plan_.slots);
  const bool is_queue_full =
      is_full && queue_.size() >= static_cast<std::size_t>(plan_.queue);
  if (is_queue_full || random_->Unit() < faults_.shed_probability) {
    job.done(LeafOutcome::kShed);
    return number;
  }
  queue_.emplace_back(number, std::move(job));
  StartNext();
  return number;
}

void VirtualLeaf::Cancel(std::uint64_t number) {
  std::erase_if(queue_,
                [number](const auto& row) { return row.first == number; });
  if (running_.erase(number) > 0) {
    StartNext();
  }
}

bool VirtualLeaf::Connect() {
  if (is_down_) {
    return false;
  }
  if (connections_ >= plan_.connections) {
    ++resets_;
    return false;
  }
  ++connections_;
  return true;
}

void VirtualLeaf::StartNext() {
  while (!queue_.empty() &&
         running_.size() < static_cast<std::size_t>(plan_.slots)) {
    auto [number, job] = std::move(queue_.front());
    queue_.pop_front();
    if (clock_.Now() >= job.deadline) {
      job.done(LeafOutcome::kShed);
      continue;
    }
    Run(number, std::move(job));
  }
}

void VirtualLeaf::Run(std::uint64_t number, Job job) {
  job.will_run();
  const double factor = speed_ * faults_.slowness;
  const base::Duration work(static_cast<std::int64_t>(
      static_cast<double>(job.work.count()) * factor));
  const base::MonotonicTime end = CompletionTime(work);
  const bool is_late = end > job.deadline;
  const bool is_reset = random_->Unit() < faults_.reset_probability;
  const LeafOutcome outcome = is_late    ? LeafOutcome::kFailed
                              : is_reset ? LeafOutcome::kLost
                                         : LeafOutcome::kAnswered;
  if (job.crash_after) {
    const base::Duration down = job.down;
    (void)runner_.After(*job.crash_after,
                        [self = shared_from_this(), down, start = starts_] {
                          if (start == self->starts_ && !self->is_down_) {
                            self->Crash(down);
                          }
                        });
    running_.emplace(number, std::move(job));
    return;
  }
  const base::Duration delay = std::min(end, job.deadline) - clock_.Now();
  running_.emplace(number, std::move(job));
  (void)runner_.After(delay, [self = shared_from_this(), number, outcome] {
    self->End(number, outcome);
  });
}

void VirtualLeaf::Crash(base::Duration down) {
  is_down_ = true;
  connections_ = 0;
  const auto running = std::exchange(running_, {});
  const auto queue = std::exchange(queue_, {});
  for (const auto& [number, job] : running) {
    job.done(LeafOutcome::kLost);
  }
  for (const auto& [number, job] : queue) {
    job.done(LeafOutcome::kLost);
  }
  (void)runner_.After(down, [self = shared_from_this()] {
    self->is_down_ = false;
    ++self->starts_;
  });
}

void VirtualLeaf::ReassignAddress(const std::string& collection) {
  tenant_ = collection;
  is_down_ = false;
  ++starts_;
}

void VirtualLeaf::End(std::uint64_t number, LeafOutcome outcome) {
  auto row = running_.extract(number);
  if (row.empty()) {
    return;
  }
  if (!faults_.is_dark) {
    row.mapped().done(outcome);
  }
  StartNext();
}

base::MonotonicTime VirtualLeaf::CompletionTime(base::Duration work) const {
  if (plan_.pause == base::Duration{}) {
    return clock_.Now() + work;
  }
  // Time since the start of the last pause.
  const auto since =
      base::Duration((clock_.Now().microseconds + pause_phase_.count()) %
                     plan_.pause_interval.count());
  const base::Duration still_paused =
      std::max(base::Duration{}, plan_.pause - since);
  const base::Duration end = since + still_paused + work;
  const base::Duration next_pause =
      end > plan_.pause_interval ? plan_.pause : base::Duration{};
  return clock_.Now() + still_paused + work + next_pause;
}

}  // namespace medlarspread::emulator
