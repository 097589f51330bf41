// Implementation of upstream::HealthPoller.

#include "src/upstream/health_poller.h"

#include <algorithm>
#include <utility>

namespace medlarspread::upstream {

using base::Duration;
using base::MonotonicTime;

Duration Jitter(base::Random& random, Duration duration) {
  constexpr double kMinFactor = 0.75;
  constexpr double kFactorRange = 0.5;
  return Duration(
      static_cast<std::int64_t>(static_cast<double>(duration.count()) *
                                (kMinFactor + kFactorRange * random.Unit())));
}

HealthPoller::HealthPoller(const UpstreamSettings& settings,
                           base::Clock clock,
                           base::Random& random,
                           base::TaskRunner control,
                           ReadHealth read_health,
                           HealthPollerCallbacks callbacks)
    : settings_(settings),
      clock_(std::move(clock)),
      random_(random),
      control_(std::move(control)),
      read_health_(std::move(read_health)),
      callbacks_(std::move(callbacks)) {}

void HealthPoller::Add(const std::string& name) {
  queue_.Set(name, clock_.Now());
  Schedule();
}

void HealthPoller::Remove(const std::string& name) {
  queue_.Remove(name);
}

void HealthPoller::RefreshRoles() {
  const MonotonicTime now = clock_.Now();
  const auto interval = static_cast<double>(settings_.health_interval.count());
  for (const std::string& name : queue_.Names()) {
    const Duration delay(static_cast<std::int64_t>(random_.Unit() * interval));
    queue_.Set(name, now + delay);
  }
  Schedule();
}

void HealthPoller::Schedule() {
  const auto due = queue_.NextDue();
  if (!due || (timer_due_ && *timer_due_ <= *due)) {
    return;
  }
  timer_due_ = due;
  control_.After(std::max(Duration(0), *due - clock_.Now()),
                 [weak = weak_from_this(), due] {
                   const auto self = weak.lock();
                   if (self && self->timer_due_ == due) {
                     self->timer_due_.reset();
                     self->RunDue();
                   }
                 });
}

void HealthPoller::RunDue() {
  const auto max_reads =
      static_cast<std::size_t>(settings_.max_health_reads_in_flight);
  while (!is_stopped_ && reading_.size() < max_reads) {
    const auto name = queue_.TakeDue(clock_.Now());
    if (!name) {
      Schedule();
      return;
    }
    const blackboard::Upstream* upstream = callbacks_.find(*name);
    if (upstream == nullptr) {
      continue;
    }
    if (callbacks_.should_poll(*upstream)) {
      Read(*name, *upstream);
      continue;
    }
    queue_.Set(*name,
               clock_.Now() + Jitter(random_, settings_.role_check_interval));
    callbacks_.did_skip(*name);
  }
  // DidRead() schedules the rest once a read has ended.
}

void HealthPoller::Read(const std::string& name,
                        const blackboard::Upstream& upstream) {
  reading_.insert(name);
  ++reads_;
  read_health_(upstream, settings_.health_timeout,
               [weak = weak_from_this(), control = control_, name,
                asked = clock_.Now()](base::Result<LeafHealth> health) {
                 control.Post([weak, name, asked, health = std::move(health)] {
                   if (const auto self = weak.lock()) {
                     self->DidRead(name, asked, health);
                   }
                 });
               });
}

void HealthPoller::DidRead(const std::string& name,
                           MonotonicTime asked,
                           const base::Result<LeafHealth>& health) {
  reading_.erase(name);
  failures_ += health.is_ok() ? 0 : 1;
  if (is_stopped_) {
    return;
  }
  if (callbacks_.find(name) != nullptr) {
    callbacks_.did_read(name, asked, health);
    queue_.Set(name, clock_.Now() + Jitter(random_, callbacks_.interval(name)));
  }
  Schedule();
}

}  // namespace medlarspread::upstream
