// The clients towards all leaves, and the bound on connections to each.

#include "src/upstream/leaf_client.h"

#include <algorithm>
#include <atomic>
#include <cassert>
#include <map>
#include <mutex>
#include <utility>
#include <vector>

#include "src/http/client.h"
#include "src/upstream/leaf_message.h"

namespace medlarspread::upstream {

namespace {

using base::ErrorCode;
using base::Step;
using blackboard::Upstream;

// An idle client is dropped at most this share of the idle time too late.
constexpr int kSweepsPerIdleTime = 4;

// The client of one leaf. The mutex makes the check of the bound and the send
// one step.
struct Leaf {
  Leaf(http::ClientSettings settings, base::TaskRunner runner)
      : client(std::move(settings), std::move(runner)) {}

  std::mutex mutex;
  http::Client client;
  // Monotonic microseconds.
  std::atomic<std::int64_t> last_used = 0;
};

}  // namespace

class LeafClient::Impl : public std::enable_shared_from_this<Impl> {
 public:
  Impl(LeafClientSettings settings, base::Clock clock, base::TaskRunner traffic)
      : settings_(settings), clock_(std::move(clock)), traffic_(traffic) {
    assert(settings_.max_in_flight_per_leaf > settings_.reserved_for_cancel);
    assert(settings_.idle_time.count() > 0);
  }

  void Send(const Upstream& upstream,
            LeafRequest request,
            LeafPort::Callback callback);
  void Cancel(const Upstream& upstream, const std::string& attempt_id);
  LeafClientCounters counters() const;
  void ScheduleSweep();

 private:
  std::shared_ptr<Leaf> FindOrOpen(const std::string& address);
  bool TrySend(Leaf& leaf,
               int limit,
               const http::Request& message,
               base::Duration timeout,
               http::Client::Callback callback);
  int LimitFor(const Upstream& upstream) const;
  void Refuse(const std::string& address,
              ErrorCode code,
              const char* detail,
              const LeafPort::Callback& callback);
  void DropIdle();

  const LeafClientSettings settings_;
  const base::Clock clock_;
  const base::TaskRunner traffic_;

  mutable std::mutex mutex_;
  // By address; guarded by `mutex_`.
  std::map<std::string, std::shared_ptr<Leaf>> leaves_;

  std::atomic<std::int64_t> queries_sent_ = 0;
  std::atomic<std::int64_t> queries_refused_ = 0;
  std::atomic<std::int64_t> cancels_sent_ = 0;
  std::atomic<std::int64_t> cancels_refused_ = 0;
  std::atomic<std::int64_t> mismatches_ = 0;
  std::atomic<std::int64_t> clients_opened_ = 0;
  std::atomic<std::int64_t> clients_dropped_ = 0;
};

void LeafClient::Impl::Send(const Upstream& upstream,
                            LeafRequest request,
                            LeafPort::Callback callback) {
  const std::string address = upstream.address;
  if (request.deadline_left.count() <= 0) {
    Refuse(address, ErrorCode::kTimeout, "the deadline has passed", callback);
    return;
  }
  const auto leaf = FindOrOpen(address);
  const int limit =
      std::max(1, LimitFor(upstream) - settings_.reserved_for_cancel);
  const http::Request message = EncodeQuery(request);
  const base::Duration timeout = request.deadline_left;
  // The request is shared because the HTTP client may copy its callback.
  const auto shared_request =
      std::make_shared<const LeafRequest>(std::move(request));
  const auto on_reply = [self = shared_from_this(), address, shared_request,
                         callback](base::Result<http::Response> result) {
    LeafReply reply = DecodeReply(*shared_request, address, result);
    if (reply.outcome == LeafOutcome::kMismatch) {
      ++self->mismatches_;
    }
    callback(std::move(reply));
  };
  if (TrySend(*leaf, limit, message, timeout, on_reply)) {
    ++queries_sent_;
    return;
  }
  Refuse(address, ErrorCode::kOverloaded, "all connections to the leaf taken",
         callback);
}

// Nothing is sent, so the request does not run.
void LeafClient::Impl::Refuse(const std::string& address,
                              ErrorCode code,
                              const char* detail,
                              const LeafPort::Callback& callback) {
  ++queries_refused_;
  LeafReply reply;
  reply.outcome = LeafOutcome::kShed;
  reply.retry_after = settings_.retry_after;
  reply.error = base::MakeError(code, Step::kSendUpstream, address, detail);
  traffic_.Post([callback, reply] { callback(reply); });
}

void LeafClient::Impl::Cancel(const Upstream& upstream,
                              const std::string& attempt_id) {
  const auto leaf = FindOrOpen(upstream.address);
  // The answer tells only whether the leaf knew the attempt; nothing depends
  // on it, and the query's own reply tells the rest.
  const bool is_sent =
      TrySend(*leaf, LimitFor(upstream), EncodeCancel(attempt_id),
              settings_.cancel_timeout, [](base::Result<http::Response>) {});
  ++(is_sent ? cancels_sent_ : cancels_refused_);
}

std::shared_ptr<Leaf> LeafClient::Impl::FindOrOpen(const std::string& address) {
  const std::lock_guard lock(mutex_);
  auto& leaf = leaves_[address];
  if (!leaf) {
    leaf = std::make_shared<Leaf>(
        http::ClientSettings{.address = address,
                             .step = Step::kSendUpstream,
                             .max_body_bytes = settings_.max_reply_bytes},
        traffic_.MakeSequence());
    ++clients_opened_;
  }
  // Marked under the lock of the map: a client that is about to send is never
  // dropped, so two clients never share one leaf's bound.
  leaf->last_used = clock_.Now().microseconds;
  return leaf;
}

bool LeafClient::Impl::TrySend(Leaf& leaf,
                               int limit,
                               const http::Request& message,
                               base::Duration timeout,
                               http::Client::Callback callback) {
  const std::lock_guard lock(leaf.mutex);
  if (leaf.client.in_flight() >= limit) {
    return false;
  }
  leaf.client.Send(message, timeout, std::move(callback));
  return true;
}

int LeafClient::Impl::LimitFor(const Upstream& upstream) const {
  return std::max(
      1, std::min(settings_.max_in_flight_per_leaf, upstream.connections));
}

void LeafClient::Impl::ScheduleSweep() {
  // The timer must not keep the client alive for ever.
  traffic_.After(settings_.idle_time / kSweepsPerIdleTime,
                 [weak = weak_from_this()] {
                   if (const auto self = weak.lock()) {
                     self->DropIdle();
                     self->ScheduleSweep();
                   }
                 });
}

void LeafClient::Impl::DropIdle() {
  // The clients are destroyed after the lock is released.
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

LeafClientCounters LeafClient::Impl::counters() const {
  LeafClientCounters counters;
  counters.queries_sent = queries_sent_;
  counters.queries_refused = queries_refused_;
  counters.cancels_sent = cancels_sent_;
  counters.cancels_refused = cancels_refused_;
  counters.mismatches = mismatches_;
  counters.clients_opened = clients_opened_;
  counters.clients_dropped = clients_dropped_;
  const std::lock_guard lock(mutex_);
  counters.clients = static_cast<int>(leaves_.size());
  for (const auto& [address, leaf] : leaves_) {
    counters.in_flight += leaf->client.in_flight();
  }
  return counters;
}

LeafClient::LeafClient(LeafClientSettings settings,
                       base::Clock clock,
                       base::TaskRunner traffic)
    : impl_(std::make_shared<Impl>(settings,
                                   std::move(clock),
                                   std::move(traffic))) {
  impl_->ScheduleSweep();
}

LeafClient::~LeafClient() = default;

LeafPort LeafClient::port() {
  LeafPort port;
  port.send = [impl = impl_](const Upstream& upstream, LeafRequest request,
                             LeafPort::Callback callback) {
    impl->Send(upstream, std::move(request), std::move(callback));
  };
  port.cancel = [impl = impl_](const Upstream& upstream,
                               const std::string& attempt_id) {
    impl->Cancel(upstream, attempt_id);
  };
  return port;
}

LeafClientCounters LeafClient::counters() const {
  return impl_->counters();
}

}  // namespace medlarspread::upstream
