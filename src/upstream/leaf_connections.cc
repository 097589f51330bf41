// One HTTP client a leaf, bounded and dropped when idle.

#include "src/upstream/leaf_connections.h"

#include <algorithm>
#include <cassert>
#include <utility>
#include <vector>

namespace medlarspread::upstream {

namespace {

// An idle client is dropped at most this share of the idle time too late.
constexpr int kSweepsPerIdleTime = 4;

}  // namespace

// The mutex makes the check of the bound and the send one step.
struct LeafConnections::Leaf {
  Leaf(http::ClientSettings settings, base::TaskRunner runner)
      : client(std::move(settings), std::move(runner)) {}

  std::mutex mutex;
  http::Client client;
  // Monotonic microseconds.
  std::atomic<std::int64_t> last_used = 0;
};

LeafConnections::LeafConnections(LeafConnectionSettings settings,
                                 base::Clock clock,
                                 base::TaskRunner traffic)
    : settings_(settings),
      clock_(std::move(clock)),
      traffic_(std::move(traffic)) {
  assert(settings_.max_in_flight_per_leaf > settings_.reserved_for_control);
  assert(settings_.idle_time.count() > 0);
}

void LeafConnections::Start() {
  ScheduleSweep();
}

bool LeafConnections::TrySend(const blackboard::Upstream& upstream,
                              Use use,
                              const http::Request& message,
                              base::Duration timeout,
                              http::Client::Callback callback) {
  const auto leaf = FindOrOpen(upstream.address);
  const std::lock_guard lock(leaf->mutex);
  if (leaf->client.in_flight() >= LimitFor(upstream, use)) {
    return false;
  }
  leaf->client.Send(message, timeout, std::move(callback));
  return true;
}

std::shared_ptr<LeafConnections::Leaf> LeafConnections::FindOrOpen(
    const std::string& address) {
  const std::lock_guard lock(mutex_);
  auto& leaf = leaves_[address];
  if (!leaf) {
    leaf = std::make_shared<Leaf>(
        http::ClientSettings{.address = address,
                             .step = base::Step::kSendUpstream,
                             .max_body_bytes = settings_.max_reply_bytes},
        traffic_.MakeSequence());
    ++clients_opened_;
  }
  // Marked under the lock of the map: a client that is about to send is never
  // dropped, so two clients never share one leaf's bound.
  leaf->last_used = clock_.Now().microseconds;
  return leaf;
}

int LeafConnections::LimitFor(const blackboard::Upstream& upstream,
                              Use use) const {
  const int limit =
      std::min(settings_.max_in_flight_per_leaf, upstream.connections);
  const int reserved = use == Use::kQuery ? settings_.reserved_for_control : 0;
  return std::max(1, limit - reserved);
}

void LeafConnections::ScheduleSweep() {
  // The timer must not keep the clients alive for ever.
  traffic_.After(settings_.idle_time / kSweepsPerIdleTime,
                 [weak = weak_from_this()] {
                   if (const auto self = weak.lock()) {
                     self->DropIdle();
                     self->ScheduleSweep();
                   }
                 });
}

void LeafConnections::DropIdle() {
  // Declared before the lock: the clients are destroyed after its release.
  std::vector<std::shared_ptr<Leaf>> dropped;
  const base::MonotonicTime oldest = clock_.Now() - settings_.idle_time;
  const std::lock_guard lock(mutex_);
  for (auto row = leaves_.begin(); row != leaves_.end();) {
    const Leaf& leaf = *row->second;
    if (leaf.client.in_flight() > 0 || leaf.last_used > oldest.microseconds) {
      ++row;
      continue;
    }
    dropped.push_back(std::move(row->second));
    row = leaves_.erase(row);
    ++clients_dropped_;
  }
}

LeafConnectionCounters LeafConnections::counters() const {
  LeafConnectionCounters counters;
  counters.clients_opened = clients_opened_;
  counters.clients_dropped = clients_dropped_;
  const std::lock_guard lock(mutex_);
  counters.clients = static_cast<int>(leaves_.size());
  for (const auto& [address, leaf] : leaves_) {
    counters.in_flight += leaf->client.in_flight();
  }
  return counters;
}

}  // namespace medlarspread::upstream
