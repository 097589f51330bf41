// Maintains `blackboard.upstreams`: the known leaves, what they hold and
// whether they accept requests. It reads the platform's VM list and the leaves'
// health, and receives observations from replies and from peers. UpstreamRecord
// decides how these are combined.

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
  // Whether this daemon reads the health of the leaf. True only on the few
  // daemons that hold the leaf's queues, which limits the load of health reads
  // on both sides.
  std::function<bool(const blackboard::Upstream&)> should_poll;
  // A reply, health or the list showed that the leaf is draining; not called
  // for notices from peers. Repeated occasionally while the leaf keeps
  // draining.
  std::function<void(const std::string& name)> did_find_draining;
};

struct UpstreamCounters {
  std::int64_t list_reads = 0;
  std::int64_t list_failures = 0;
  std::int64_t health_reads = 0;
  std::int64_t health_failures = 0;
  // Replies passed to the control sequence.
  std::int64_t observations = 0;
  std::int64_t publications = 0;
};

// Thread-safe: the work is done on the control sequence. Must be destroyed on
// that sequence or after its threads have ended.
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

  // Starts reading the list and the health of leaves. Must be called once.
  void Start();
  // Stops reading permanently. The blackboard keeps its last value.
  void Stop();

  // Reports a reply, or the lack of one, of the leaf called `name`.
  void Observe(const std::string& name, const LeafReply& reply);
  // A peer reported that the leaf was draining `age` ago.
  void DidHearDraining(const std::string& name, base::Duration age);
  // A peer read the leaf's health `age` ago.
  void DidHearHealth(const std::string& name,
                     const LeafHealth& health,
                     base::Duration age);
  // The results of should_poll may have changed. Checks every leaf again within
  // one health interval.
  void DidChangeRoles();

  UpstreamCounters counters() const;

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace medlarspread::upstream

#endif  // MEDLARSPREAD_UPSTREAM_UPSTREAM_CONTROLLER_H_
