// Keeps `blackboard.upstreams`: which leaves there are, what they hold and
// whether they take work. It reads the platform's list and the leaves' health,
// takes in what replies say and what peers have heard, and leaves the weighing
// of these to UpstreamRecord.

#ifndef MEDLARSPREAD_UPSTREAM_UPSTREAM_CONTROLLER_H_
#define MEDLARSPREAD_UPSTREAM_UPSTREAM_CONTROLLER_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "src/base/clock.h"
#include "src/base/random.h"
#include "src/base/task_runner.h"
#include "src/blackboard/blackboard.h"
#include "src/store/store.h"
#include "src/upstream/health_client.h"
#include "src/upstream/leaf_port.h"
#include "src/upstream/upstream_settings.h"

namespace medlarspread::upstream {

// Called on the control sequence.
struct UpstreamCallbacks {
  // Whether this daemon reads the health of the leaf. True on the few daemons
  // that hold its queues; it bounds the load of health reads on both sides.
  std::function<bool(const blackboard::Upstream&)> should_poll;
  // A leaf was found to drain by its reply, its health or the list, not by
  // news from peers. Called again now and then while that is still said.
  std::function<void(const std::string& name)> did_find_draining;
};

struct UpstreamCounters {
  std::int64_t list_reads = 0;
  std::int64_t list_failures = 0;
  std::int64_t health_reads = 0;
  std::int64_t health_failures = 0;
  // Replies that were passed to the control sequence.
  std::int64_t observations = 0;
  std::int64_t publications = 0;
};

// Safe to use from any thread; the work is done on the control sequence. Must
// be destroyed on that sequence or after its threads have ended.
class UpstreamController {
 public:
  // `random` and `blackboard` must outlive the control sequence's tasks.
  UpstreamController(UpstreamSettings settings,
                     base::Clock clock,
                     base::Random& random,
                     base::TaskRunner control,
                     store::ReadVmList read_vms,
                     ReadHealth read_health,
                     blackboard::Blackboard& blackboard,
                     UpstreamCallbacks callbacks);
  ~UpstreamController();
  UpstreamController(const UpstreamController&) = delete;
  UpstreamController& operator=(const UpstreamController&) = delete;

  // Starts reading the list and the health of leaves. Call once.
  void Start();
  // Ends reading for good. The blackboard keeps its last value.
  void Stop();

  // A reply, or the lack of one, of the leaf called `name`.
  void Observe(const std::string& name, const LeafReply& reply);
  // A peer said that the leaf was heard to drain `age` ago.
  void DidHearDraining(const std::string& name, base::Duration age);
  // A peer read the leaf's health `age` ago.
  void DidHearHealth(const std::string& name,
                     const LeafHealth& health,
                     base::Duration age);
  // The answers of should_poll may have changed: asks again for every leaf
  // within one health interval.
  void DidChangeRoles();

  UpstreamCounters counters() const;

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace medlarspread::upstream

#endif  // MEDLARSPREAD_UPSTREAM_UPSTREAM_CONTROLLER_H_
