// Schedules this daemon's health reads. Leaves that this daemon is responsible
// for are read at their intervals, with random variation and a limit on
// concurrent reads. For the others it only checks, less often, whether it has
// become responsible.

#ifndef MEDLARSPREAD_UPSTREAM_HEALTH_POLLER_H_
#define MEDLARSPREAD_UPSTREAM_HEALTH_POLLER_H_

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include "src/base/clock.h"
#include "src/base/random.h"
#include "src/base/task_runner.h"
#include "src/upstream/due_queue.h"
#include "src/upstream/health_client.h"
#include "src/upstream/upstream_settings.h"

namespace medlarspread::upstream {

// A random duration, uniformly distributed between 75% and 125% of the given
// one.
base::Duration Jitter(base::Random& random, base::Duration duration);

struct HealthPollerCallbacks {
  // The leaf, or null if it no longer exists.
  std::function<const blackboard::Upstream*(const std::string& name)> find;
  std::function<bool(const blackboard::Upstream&)> should_poll;
  // The time until the next read of the leaf, which must exist.
  std::function<base::Duration(const std::string& name)> interval;
  std::function<void(const std::string& name,
                     base::MonotonicTime asked,
                     const base::Result<LeafHealth>&)>
      did_read;
  // The leaf was due, but this daemon is not responsible for it.
  std::function<void(const std::string& name)> did_skip;
};

// Must be used on the control sequence only, except for the counters. Must be
// held by a shared pointer; timers and pending reads hold it weakly.
class HealthPoller : public std::enable_shared_from_this<HealthPoller> {
 public:
  // `settings` and `random` must outlive this object.
  HealthPoller(const UpstreamSettings& settings,
               base::Clock clock,
               base::Random& random,
               base::TaskRunner control,
               ReadHealth read_health,
               HealthPollerCallbacks callbacks);

  void Stop() { is_stopped_ = true; }
  // Adds a new leaf, which is due at once.
  void Add(const std::string& name);
  void Remove(const std::string& name);
  // Makes every leaf due within one health interval.
  void RefreshRoles();

  std::int64_t reads() const { return reads_; }
  std::int64_t failures() const { return failures_; }

 private:
  void Schedule();
  void RunDue();
  void Read(const std::string& name, const blackboard::Upstream& upstream);
  void DidRead(const std::string& name,
               base::MonotonicTime asked,
               const base::Result<LeafHealth>& health);

  const UpstreamSettings& settings_;
  const base::Clock clock_;
  base::Random& random_;
  const base::TaskRunner control_;
  const ReadHealth read_health_;
  const HealthPollerCallbacks callbacks_;

  bool is_stopped_ = false;
  // Contains every leaf except those whose health is being read.
  DueQueue queue_;
  std::set<std::string> reading_;
  // Only the timer for this time is valid; earlier ones do nothing.
  std::optional<base::MonotonicTime> timer_due_;
  std::atomic<std::int64_t> reads_ = 0;
  std::atomic<std::int64_t> failures_ = 0;
};

}  // namespace medlarspread::upstream

#endif  // MEDLARSPREAD_UPSTREAM_HEALTH_POLLER_H_
