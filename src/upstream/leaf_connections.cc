// Implementation of upstream::LeafConnections.

#include "src/upstream/leaf_connections.h"

#include <algorithm>
#include <cassert>
#include <utility>
#include <vector>

namespace medlarspread::upstream {

namespace {

// An idle client is dropped late by at most the idle time divided by this.
constexpr int kSweepsPerIdleTime = 4;

}  // namespace

// The mutex makes checking the limit and sending one atomic step.
struct LeafConnections::Leaf {
  // The number of requests in flight, including those on replaced clients.
  // Drops replaced clients that have none left. `mutex` must be held.
  int CountInFlight() {
    std::erase_if(replaced,
                  [](const auto& old) { return old->in_flight() == 0; });
    int count = client->in_flight();
    for (const auto& old : replaced) {
      count += old->in_flight();
    }
    return count;
  }

  std::mutex mutex;
  // Never null.
  std::unique_ptr<http::Client> client;
  base::MonotonicTime opened;
  std::vector<std::unique_ptr<http::Client>> replaced;
  // Monotonic microseconds; not guarded by `mutex`.
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
  if (leaf->CountInFlight() >= LimitFor(upstream, use)) {
    return false;
  }
  leaf->client->Send(message, timeout, std::move(callback));
  return true;
}

std::unique_ptr<http::Client> LeafConnections::MakeClient(
    const std::string& address) {
  ++clients_opened_;
  return std::make_unique<http::Client>(
      http::ClientSettings{.address = address,
                           .step = base::Step::kSendUpstream,
                           .max_body_bytes = settings_.max_reply_bytes},
      traffic_.MakeSequence());
}

void LeafConnections::DidMismatchReply(const std::string& address,
                                       base::MonotonicTime sent) {
  const auto leaf = FindOrOpen(address);
  const std::lock_guard lock(leaf->mutex);
  if (leaf->opened > sent) {
    // The client has been replaced since then.
    return;
  }
  leaf->replaced.push_back(std::move(leaf->client));
  leaf->client = MakeClient(address);
  // NOTE: a request sent at this very moment used the previous client.
  leaf->opened = clock_.Now() + base::Duration(1);
  ++clients_replaced_;
}

std::shared_ptr<LeafConnections::Leaf> LeafConnections::FindOrOpen(
    const std::string& address) {
  const std::lock_guard lock(mutex_);
  auto& leaf = leaves_[address];
  if (!leaf) {
    leaf = std::make_shared<Leaf>();
    leaf->client = MakeClient(address);
    leaf->opened = clock_.Now();
  }
  // Set while the map is locked: a client that is about to send is then never
  // dropped, so that a leaf never has two clients at once.
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
  // The timer must not keep this object alive forever.
  traffic_.After(settings_.idle_time / kSweepsPerIdleTime,
                 [weak = weak_from_this()] {
                   if (const auto self = weak.lock()) {
                     self->DropIdle();
                     self->ScheduleSweep();
                   }
                 });
}

void LeafConnections::DropIdle() {
  // Declared before the lock, so that the clients are destroyed after its
  // release.
  std::vector<std::shared_ptr<Leaf>> dropped;
  const base::MonotonicTime oldest = clock_.Now() - settings_.idle_time;
  const std::lock_guard lock(mutex_);
  for (auto row = leaves_.begin(); row != leaves_.end();) {
    Leaf& leaf = *row->second;
    const bool is_recent = leaf.last_used > oldest.microseconds;
    const std::lock_guard leaf_lock(leaf.mutex);
    if (is_recent || leaf.CountInFlight() > 0) {
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
  counters.clients_replaced = clients_replaced_;
  const std::lock_guard lock(mutex_);
  counters.clients = static_cast<int>(leaves_.size());
  for (const auto& [address, leaf] : leaves_) {
    const std::lock_guard leaf_lock(leaf->mutex);
    counters.in_flight += leaf->CountInFlight();
  }
  return counters;
}

}  // namespace medlarspread::upstream
