// Implementation of upstream::UpstreamController: reads of the list and of
// health, observations from replies and peers, and publishing.

#include "src/upstream/upstream_controller.h"

#include <algorithm>
#include <atomic>
#include <cassert>
#include <map>
#include <optional>
#include <utility>
#include <vector>

#include "src/upstream/health_poller.h"
#include "src/upstream/observation_filter.h"
#include "src/upstream/upstream_record.h"

namespace medlarspread::upstream {

using base::Duration;
using base::MonotonicTime;
using blackboard::Upstream;
using blackboard::UpstreamState;
using store::Vm;

// All members run on the control sequence, except Observe() and counters().
// Timers and callbacks hold the object weakly and end with it.
class UpstreamController::Impl : public std::enable_shared_from_this<Impl> {
 public:
  Impl(UpstreamSettings settings,
       base::Clock clock,
       base::Random& random,
       base::TaskRunner control,
       store::ReadVmList read_vms,
       ReadHealth read_health,
       blackboard::Blackboard& blackboard,
       UpstreamCallbacks callbacks);

  // Runs `task` on the control sequence if this object still exists.
  template <typename Function>
  void Post(Function task) {
    control_.Post(Guard(std::move(task)));
  }

  void Start();
  void Stop() {
    is_running_ = false;
    poller_->Stop();
  }
  void Observe(const std::string& name, const LeafReply& reply);
  void DidHearDraining(const std::string& name, Duration age);
  void DidHearHealth(const std::string& name,
                     const LeafHealth& health,
                     Duration age);
  void DidChangeRoles() { poller_->RefreshRoles(); }
  UpstreamCounters counters() const;

 private:
  // Wraps `task` with a weak reference to this object.
  template <typename Function>
  base::Task Guard(Function task) {
    return [weak = weak_from_this(), task = std::move(task)] {
      if (const auto self = weak.lock()) {
        task(*self);
      }
    };
  }

  void ReadList();
  void DidReadList(const base::Result<std::vector<Vm>>& vms);
  void ForgetVanished();

  HealthPollerCallbacks MakePollerCallbacks();

  // Runs `change` on the record of `name`, if there is one, and then
  // DidChange().
  template <typename Function>
  void Change(const std::string& name, Function change);
  void DidChange(UpstreamRecord& record, const Upstream* published);
  void RequestPublish(Duration interval);
  void Publish();

  const UpstreamSettings settings_;
  const base::Clock clock_;
  base::Random& random_;
  const base::TaskRunner control_;
  const store::ReadVmList read_vms_;
  blackboard::Blackboard& blackboard_;
  const UpstreamCallbacks callbacks_;

  bool is_running_ = false;
  std::map<std::string, UpstreamRecord> records_;

  // Its callbacks refer to this object, which outlives it; see the rule on
  // destruction in the header.
  const std::shared_ptr<HealthPoller> poller_;

  std::optional<MonotonicTime> publish_due_;
  std::optional<MonotonicTime> last_published_;

  ObservationFilter filter_;
  std::atomic<std::int64_t> list_reads_ = 0;
  std::atomic<std::int64_t> list_failures_ = 0;
  std::atomic<std::int64_t> observations_ = 0;
  std::atomic<std::int64_t> publications_ = 0;
};

UpstreamController::Impl::Impl(UpstreamSettings settings,
                               base::Clock clock,
                               base::Random& random,
                               base::TaskRunner control,
                               store::ReadVmList read_vms,
                               ReadHealth read_health,
                               blackboard::Blackboard& blackboard,
                               UpstreamCallbacks callbacks)
    : settings_(settings),
      clock_(std::move(clock)),
      random_(random),
      control_(std::move(control)),
      read_vms_(std::move(read_vms)),
      blackboard_(blackboard),
      callbacks_(std::move(callbacks)),
      poller_(std::make_shared<HealthPoller>(settings_,
                                             clock_,
                                             random_,
                                             control_,
                                             std::move(read_health),
                                             MakePollerCallbacks())),
      filter_(settings.observe_interval) {
  assert(callbacks_.should_poll && callbacks_.did_find_draining);
}

void UpstreamController::Impl::Start() {
  if (!is_running_) {
    is_running_ = true;
    ReadList();
  }
}

// --- The platform's list ---

void UpstreamController::Impl::ReadList() {
  if (!is_running_) {
    return;
  }
  ++list_reads_;
  read_vms_(settings_.list_timeout, [weak = weak_from_this()](
                                        base::Result<std::vector<Vm>> vms) {
    if (const auto self = weak.lock()) {
      self->Post([vms = std::move(vms)](Impl& impl) { impl.DidReadList(vms); });
    }
  });
}

void UpstreamController::Impl::DidReadList(
    const base::Result<std::vector<Vm>>& vms) {
  if (!is_running_) {
    return;
  }
  control_.After(Jitter(random_, settings_.list_interval),
                 Guard([](Impl& impl) { impl.ReadList(); }));
  if (!vms.is_ok()) {
    // The last list stays valid: ages are counted from the last success, so no
    // leaf is forgotten while the list can't be read.
    ++list_failures_;
    return;
  }
  const MonotonicTime now = clock_.Now();
  const auto view = blackboard_.upstreams.Read();
  for (const Vm& vm : vms.value()) {
    if (vm.role != store::VmRole::kUpstream) {
      continue;
    }
    const auto [row, is_new] =
        records_.try_emplace(vm.name, settings_, vm, now);
    row->second.DidList(vm, now);
    if (is_new) {
      poller_->Add(vm.name);
    }
    const auto published = view->upstreams.find(vm.name);
    DidChange(row->second, published == view->upstreams.end()
                               ? nullptr
                               : &published->second);
  }
  ForgetVanished();
}

void UpstreamController::Impl::ForgetVanished() {
  const MonotonicTime now = clock_.Now();
  for (auto row = records_.begin(); row != records_.end();) {
    if (!row->second.ShouldForget(now)) {
      ++row;
      continue;
    }
    poller_->Remove(row->first);
    filter_.Forget(row->first);
    row = records_.erase(row);
    RequestPublish(settings_.publish_interval);
  }
}

// --- Health ---

HealthPollerCallbacks UpstreamController::Impl::MakePollerCallbacks() {
  HealthPollerCallbacks callbacks;
  callbacks.should_poll = callbacks_.should_poll;
  callbacks.find = [this](const std::string& name) -> const Upstream* {
    const auto row = records_.find(name);
    return row == records_.end() ? nullptr : &row->second.upstream();
  };
  callbacks.interval = [this](const std::string& name) {
    return records_.at(name).NeedsFrequentHealthReads(clock_.Now())
               ? settings_.health_interval
               : settings_.relaxed_health_interval;
  };
  callbacks.did_read = [this](const std::string& name, MonotonicTime asked,
                              const base::Result<LeafHealth>& health) {
    Change(name, [&](UpstreamRecord& record) {
      record.DidReadHealth(health, asked, clock_.Now());
    });
  };
  callbacks.did_skip = [this](const std::string& name) {
    Change(name, [this](UpstreamRecord& record) {
      record.ExpireUnreadStates(clock_.Now());
    });
  };
  return callbacks;
}

// --- Replies and reports from peers ---

void UpstreamController::Impl::Observe(const std::string& name,
                                       const LeafReply& reply) {
  const auto view = blackboard_.upstreams.Read();
  const auto known = view->upstreams.find(name);
  if (known == view->upstreams.end() ||
      !filter_.ShouldPassOn(known->second, reply, clock_.Now())) {
    return;
  }
  ++observations_;
  // The items are not needed here and may be large.
  LeafReply observation;
  observation.outcome = reply.outcome;
  observation.state = reply.state;
  observation.holdings = reply.holdings;
  observation.error = reply.error;
  Post([name, observation = std::move(observation)](Impl& impl) {
    impl.Change(name, [&](UpstreamRecord& record) {
      record.DidReply(observation, impl.clock_.Now());
    });
  });
}

void UpstreamController::Impl::DidHearDraining(const std::string& name,
                                               Duration age) {
  const MonotonicTime now = clock_.Now();
  const MonotonicTime heard = now - std::max(Duration(0), age);
  Change(name,
         [&](UpstreamRecord& record) { record.DidHearDraining(heard, now); });
}

void UpstreamController::Impl::DidHearHealth(const std::string& name,
                                             const LeafHealth& health,
                                             Duration age) {
  const MonotonicTime now = clock_.Now();
  const MonotonicTime asked = now - std::max(Duration(0), age);
  Change(name, [&](UpstreamRecord& record) {
    record.DidReadHealth(health, asked, now);
  });
}

// --- Publishing ---

template <typename Function>
void UpstreamController::Impl::Change(const std::string& name,
                                      Function change) {
  const auto row = records_.find(name);
  if (row == records_.end()) {
    return;
  }
  change(row->second);
  const auto view = blackboard_.upstreams.Read();
  const auto published = view->upstreams.find(name);
  DidChange(row->second,
            published == view->upstreams.end() ? nullptr : &published->second);
}

void UpstreamController::Impl::DidChange(UpstreamRecord& record,
                                         const Upstream* published) {
  const Upstream& upstream = record.upstream();
  if (published == nullptr || *published != upstream) {
    const bool is_urgent = upstream.state == UpstreamState::kDraining &&
                           published != nullptr &&
                           published->state != UpstreamState::kDraining;
    RequestPublish(is_urgent ? settings_.urgent_publish_interval
                             : settings_.publish_interval);
  }
  if (record.TakeAnnouncement(clock_.Now())) {
    callbacks_.did_find_draining(upstream.name);
  }
}

// Publishes once `interval` has passed since the last publication; at once if
// it already has.
void UpstreamController::Impl::RequestPublish(Duration interval) {
  const MonotonicTime now = clock_.Now();
  const MonotonicTime due =
      last_published_ ? std::max(now, *last_published_ + interval) : now;
  if (publish_due_ && *publish_due_ <= due) {
    return;
  }
  publish_due_ = due;
  // NOTE: posted even when due now, so that all changes of one task are
  // published together.
  control_.After(due - now, Guard([due](Impl& impl) {
                   if (impl.publish_due_ == due) {
                     impl.Publish();
                   }
                 }));
}

void UpstreamController::Impl::Publish() {
  publish_due_.reset();
  last_published_ = clock_.Now();
  ++publications_;
  blackboard::UpstreamsView view;
  for (const auto& [name, record] : records_) {
    view.upstreams.emplace_hint(view.upstreams.end(), name, record.upstream());
  }
  blackboard_.upstreams.Write(std::move(view));
}

UpstreamCounters UpstreamController::Impl::counters() const {
  return {.list_reads = list_reads_,
          .list_failures = list_failures_,
          .health_reads = poller_->reads(),
          .health_failures = poller_->failures(),
          .observations = observations_,
          .publications = publications_};
}

UpstreamController::UpstreamController(UpstreamSettings settings,
                                       base::Clock clock,
                                       base::Random& random,
                                       base::TaskRunner control,
                                       store::ReadVmList read_vms,
                                       ReadHealth read_health,
                                       blackboard::Blackboard& blackboard,
                                       UpstreamCallbacks callbacks)
    : impl_(std::make_shared<Impl>(settings,
                                   std::move(clock),
                                   random,
                                   std::move(control),
                                   std::move(read_vms),
                                   std::move(read_health),
                                   blackboard,
                                   std::move(callbacks))) {}

UpstreamController::~UpstreamController() = default;

void UpstreamController::Start() {
  impl_->Post([](Impl& impl) { impl.Start(); });
}

void UpstreamController::Stop() {
  impl_->Post([](Impl& impl) { impl.Stop(); });
}

void UpstreamController::Observe(const std::string& name,
                                 const LeafReply& reply) {
  impl_->Observe(name, reply);
}

void UpstreamController::DidHearDraining(const std::string& name,
                                         Duration age) {
  impl_->Post([name, age](Impl& impl) { impl.DidHearDraining(name, age); });
}

void UpstreamController::DidHearHealth(const std::string& name,
                                       const LeafHealth& health,
                                       Duration age) {
  impl_->Post([name, health, age](Impl& impl) {
    impl.DidHearHealth(name, health, age);
  });
}

void UpstreamController::DidChangeRoles() {
  impl_->Post([](Impl& impl) { impl.DidChangeRoles(); });
}

UpstreamCounters UpstreamController::counters() const {
  return impl_->counters();
}

}  // namespace medlarspread::upstream
