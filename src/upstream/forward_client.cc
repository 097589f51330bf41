// Implementation of upstream::ForwardClient: the connections to each leaf and
// the calls on them.

#include "src/upstream/forward_client.h"

#include <algorithm>
#include <cassert>
#include <utility>
#include <vector>

#include "src/base/overloaded.h"
#include "src/http1/caller_listener.h"
#include "src/upstream/carried_requests.h"

namespace medlarspread::upstream {

namespace {

using base::ErrorCode;
using base::Step;
using http1::ClientConnection;

// If a connection does not open within this time, the leaf is down or cut off.
// Must be below the time for which a draining leaf may still receive requests.
constexpr base::Duration kConnectTimeout = base::Milliseconds(900);
// How long a leaf's host may leave sent bytes unacknowledged.
constexpr base::Duration kAckTimeout = base::Milliseconds(2'000);
// How long to wait for the reply of a leaf after another one has answered. A
// reply shows that the leaf is responsive again and keeps the connection
// usable; pauses of leaves last 120 to 200 ms.
constexpr base::Duration kLinger = base::Milliseconds(250);
// A connection that was idle for this time is closed, unless it is the last one
// to the leaf. A daemon opens additional connections during pauses of a leaf.
// When all daemons lose power, the leaves keep the connections of the dead
// processes for seconds, so spare connections would be missing when the daemons
// restart.
//
// If there are more daemons than a leaf accepts connections, the last one is
// closed too: if each of 195 daemons kept one to a leaf that accepts 125,
// daemons that need one would be refused. With this rule 215 instead of 882
// connections were reset after such a restart (8 daemons, 30 leaves with 31
// connections each).
constexpr base::Duration kSpareIdleTimeout = base::Milliseconds(1'000);
// A call without a reply ends this long after the caller's deadline.
constexpr base::Duration kDeadlineMargin = base::Milliseconds(50);

}  // namespace

class ForwardClient::Impl : public std::enable_shared_from_this<Impl> {
 public:
  Impl(ForwardClientSettings settings,
       boost::asio::io_context& context,
       base::Clock clock,
       base::TaskRunner traffic,
       ForwardCodec codec,
       std::function<double(const blackboard::Upstream&)> connection_share)
      : settings_(settings),
        context_(context),
        clock_(std::move(clock)),
        traffic_(std::move(traffic)),
        codec_(std::move(codec)),
        connection_share_(std::move(connection_share)) {}

  SentCall Send(const blackboard::Upstream& upstream,
                ForwardCall call,
                ForwardPort::Callback done);
  Readiness ReadinessOf(const blackboard::Upstream& upstream,
                        const std::string& request_id);
  void Prepare(const blackboard::Upstream& upstream);
  void Prune(const blackboard::UpstreamsView& view);
  void CloseSpare();

  ForwardClientCounters counters_;

 private:
  // A request in flight.
  struct Call {
    blackboard::Upstream upstream;
    base::MonotonicTime sent;
    ForwardPort::Callback done;
    std::weak_ptr<ClientConnection> connection;
    base::Timer timer;
    bool has_left = false;
    bool is_finished = false;
  };

  struct PooledConnection {
    std::shared_ptr<ClientConnection> connection;
    // When it was opened or its last exchange ended.
    base::MonotonicTime last_used;
    // Identifies the connection in the log.
    std::int64_t number = 0;
    // Empty unless the codec says that responses may be repeated.
    CarriedRequests carried = {};
  };

  // The most recently used connection comes first.
  using Connections = std::list<PooledConnection>;

  // The connections to one leaf.
  struct Leaf {
    Connections connections;
    // Whether the last connection is kept open while it is idle.
    bool keeps_last = true;
  };

  // Returns a free connection that has not carried the request, or opens one.
  // Null if all that may be open are in use, or if the address is invalid.
  PooledConnection* Acquire(const blackboard::Upstream& upstream,
                            const std::string& request_id);
  // Whether another connection may be opened.
  bool CanOpen(const blackboard::Upstream& upstream) const;
  bool HasFree(const std::string& leaf) const;
  // Null if there is no free connection that has not carried the request.
  PooledConnection* FindFree(const std::string& leaf,
                             const std::string& request_id);
  // Closes connections that the leaf is about to close.
  void CloseStale(const std::string& leaf);
  // Closes one free connection, to open another one in its place.
  void CloseOneFree(const std::string& leaf);
  PooledConnection* Open(const blackboard::Upstream& upstream);
  void DidChange(const std::string& leaf, ClientConnection& connection);
  void DidEnd(const std::shared_ptr<Call>& call, http1::ExchangeResult result);
  void EndAfter(const std::shared_ptr<Call>& call, base::Duration delay);
  void Finish(const std::shared_ptr<Call>& call, ForwardReply reply);

  const ForwardClientSettings settings_;
  boost::asio::io_context& context_;
  const base::Clock clock_;
  const base::TaskRunner traffic_;
  const ForwardCodec codec_;
  const std::function<double(const blackboard::Upstream&)> connection_share_;
  // Open and opening connections by the leaf's name, which changes with each of
  // its starts. Invariant: no connection is closed.
  std::map<std::string, Leaf> leaves_;
};

SentCall ForwardClient::Impl::Send(const blackboard::Upstream& upstream,
                                   ForwardCall call,
                                   ForwardPort::Callback done) {
  ++counters_.sends;
  auto state = std::make_shared<Call>();
  state->upstream = upstream;
  state->sent = clock_.Now();
  state->done = std::move(done);
  PooledConnection* const pooled = Acquire(upstream, call.request_id);
  if (pooled == nullptr) {
    ForwardReply reply;
    reply.outcome = LeafOutcome::kUnreachable;
    reply.error = base::MakeError(
        ErrorCode::kUnreachable, Step::kSendUpstream, upstream.address,
        "connection limit reached or invalid address");
    traffic_.Post([self = shared_from_this(), state, reply] {
      self->Finish(state, reply);
    });
    return {[state] { state->is_finished = true; }, [] {},
            [] { return false; }};
  }
  if (codec_.may_repeat_responses) {
    pooled->carried.Add(call.request_id,
                        state->sent + call.time_left + kDeadlineMargin,
                        state->sent);
  }
  const auto connection = pooled->connection;
  const std::int64_t number = pooled->number;
  state->connection = connection;
  EndAfter(state, call.time_left + kDeadlineMargin);
  http1::Exchange exchange;
  exchange.request =
      std::make_shared<http1::Request>(codec_.encode(upstream, call));
  // The time that opening the connection took is subtracted from the leaf's
  // remaining time.
  exchange.will_write = [self = shared_from_this(), state,
                         time_left = call.time_left](http1::Request& request) {
    state->has_left = true;
    const base::Duration waited = self->clock_.Now() - state->sent;
    self->codec_.set_time_left(request,
                               std::max(base::Duration{}, time_left - waited));
  };
  exchange.match = [self = shared_from_this(),
                    call](const http1::Response& response) {
    return self->codec_.match(call, response);
  };
  exchange.done = [self = shared_from_this(),
                   state](http1::ExchangeResult result) {
    self->DidEnd(state, std::move(result));
  };
  connection->Start(std::move(exchange));
  return {[self = shared_from_this(), state] {
            if (std::exchange(state->is_finished, true)) {
              return;
            }
            ++self->counters_.cancels;
            state->timer.Cancel();
            if (auto running = state->connection.lock()) {
              running->Abort();
            }
          },
          [self = shared_from_this(), state] {
            if (!state->is_finished) {
              self->EndAfter(state, kLinger);
            }
          },
          [state] { return state->has_left; }, number};
}

Readiness ForwardClient::Impl::ReadinessOf(const blackboard::Upstream& upstream,
                                           const std::string& request_id) {
  CloseStale(upstream.name);
  if (const auto* free = FindFree(upstream.name, request_id)) {
    return free->connection->is_open() ? Readiness::kOpen
                                       : Readiness::kMustConnect;
  }
  return CanOpen(upstream) || HasFree(upstream.name) ? Readiness::kMustConnect
                                                     : Readiness::kFull;
}

void ForwardClient::Impl::Prepare(const blackboard::Upstream& upstream) {
  constexpr const char* kAnyRequest = "";
  if (const auto* pooled = Acquire(upstream, kAnyRequest)) {
    pooled->connection->Preconnect();
  }
}

void ForwardClient::Impl::Prune(const blackboard::UpstreamsView& view) {
  std::vector<std::shared_ptr<ClientConnection>> unneeded;
  for (const auto& [name, leaf] : leaves_) {
    if (view.upstreams.contains(name)) {
      continue;
    }
    for (const PooledConnection& pooled : leaf.connections) {
      if (pooled.connection->is_free()) {
        unneeded.push_back(pooled.connection);
      }
    }
  }
  for (const auto& connection : unneeded) {
    connection->Close();
  }
}

void ForwardClient::Impl::CloseSpare() {
  std::vector<std::shared_ptr<ClientConnection>> spare;
  const base::MonotonicTime now = clock_.Now();
  for (const auto& [name, leaf] : leaves_) {
    const Connections& connections = leaf.connections;
    const std::size_t kept_open = leaf.keeps_last ? 1 : 0;
    std::size_t left = connections.size();
    for (auto pooled = connections.rbegin(); pooled != connections.rend();
         ++pooled) {
      const bool is_idle = pooled->connection->is_free() &&
                           now - pooled->last_used >= kSpareIdleTimeout;
      if (is_idle && left > kept_open) {
        spare.push_back(pooled->connection);
        --left;
      }
    }
  }
  for (const auto& connection : spare) {
    connection->Close();
  }
}

ForwardClient::Impl::PooledConnection* ForwardClient::Impl::Acquire(
    const blackboard::Upstream& upstream,
    const std::string& request_id) {
  CloseStale(upstream.name);
  if (auto* found = FindFree(upstream.name, request_id)) {
    leaves_[upstream.name].keeps_last = connection_share_(upstream) >= 1.0;
    return found;
  }
  if (!CanOpen(upstream)) {
    if (!HasFree(upstream.name)) {
      return nullptr;
    }
    CloseOneFree(upstream.name);
    ++counters_.connections_replaced;
  }
  return Open(upstream);
}

bool ForwardClient::Impl::CanOpen(const blackboard::Upstream& upstream) const {
  const double share = std::max(1.0, connection_share_(upstream));
  const auto row = leaves_.find(upstream.name);
  return row == leaves_.end() ||
         row->second.connections.size() < static_cast<std::size_t>(share);
}

bool ForwardClient::Impl::HasFree(const std::string& leaf) const {
  const auto row = leaves_.find(leaf);
  return row != leaves_.end() &&
         std::any_of(row->second.connections.begin(),
                     row->second.connections.end(),
                     [](const PooledConnection& pooled) {
                       return pooled.connection->is_free();
                     });
}

// Returns the most recently used one, so that the others can reach their idle
// timeout.
ForwardClient::Impl::PooledConnection* ForwardClient::Impl::FindFree(
    const std::string& leaf,
    const std::string& request_id) {
  const auto row = leaves_.find(leaf);
  if (row == leaves_.end()) {
    return nullptr;
  }
  for (PooledConnection& pooled : row->second.connections) {
    if (pooled.connection->is_free() && !pooled.carried.Contains(request_id)) {
      return &pooled;
    }
  }
  return nullptr;
}

void ForwardClient::Impl::CloseStale(const std::string& leaf) {
  const auto row = leaves_.find(leaf);
  if (row == leaves_.end()) {
    return;
  }
  std::vector<std::shared_ptr<ClientConnection>> stale;
  const base::MonotonicTime now = clock_.Now();
  for (const PooledConnection& pooled : row->second.connections) {
    const auto until = pooled.connection->idle_until();
    if (pooled.connection->is_free() && until && *until <= now) {
      stale.push_back(pooled.connection);
    }
  }
  for (const auto& connection : stale) {
    connection->Close();
  }
}

void ForwardClient::Impl::CloseOneFree(const std::string& leaf) {
  const Connections& connections = leaves_.at(leaf).connections;
  const auto least_recent =
      std::find_if(connections.rbegin(), connections.rend(),
                   [](const PooledConnection& pooled) {
                     return pooled.connection->is_free();
                   });
  assert(least_recent != connections.rend());
  const auto connection = least_recent->connection;
  connection->Close();
}

ForwardClient::Impl::PooledConnection* ForwardClient::Impl::Open(
    const blackboard::Upstream& upstream) {
  const auto endpoint = http1::ParseEndpoint(upstream.address);
  if (!endpoint.is_ok()) {
    return nullptr;
  }
  ++counters_.connections_opened;
  ClientConnection::Settings settings;
  settings.peer = endpoint.value();
  settings.connect_timeout = kConnectTimeout;
  settings.silence_timeout = kAckTimeout;
  settings.max_response_bytes = settings_.max_response_bytes;
  settings.did_change = [self = weak_from_this(),
                         leaf = upstream.name](ClientConnection& connection) {
    if (auto client = self.lock()) {
      client->DidChange(leaf, connection);
    }
  };
  auto connection =
      std::make_shared<ClientConnection>(context_, std::move(settings));
  Leaf& leaf = leaves_[upstream.name];
  leaf.keeps_last = connection_share_(upstream) >= 1.0;
  leaf.connections.push_back(
      {std::move(connection), clock_.Now(), counters_.connections_opened});
  return &leaf.connections.back();
}

void ForwardClient::Impl::DidChange(const std::string& leaf,
                                    ClientConnection& connection) {
  const auto row = leaves_.find(leaf);
  if (row == leaves_.end()) {
    return;
  }
  Connections& connections = row->second.connections;
  const auto pooled =
      std::find_if(connections.begin(), connections.end(),
                   [&connection](const PooledConnection& candidate) {
                     return candidate.connection.get() == &connection;
                   });
  if (pooled == connections.end()) {
    return;
  }
  if (connection.is_closed()) {
    connections.erase(pooled);
  } else {
    pooled->last_used = clock_.Now();
    connections.splice(connections.begin(), connections, pooled);
  }
  if (connections.empty()) {
    leaves_.erase(row);
  }
}

void ForwardClient::Impl::DidEnd(const std::shared_ptr<Call>& call,
                                 http1::ExchangeResult result) {
  ForwardReply reply = std::visit(
      base::Overloaded{
          [&](http1::Response& response) {
            return codec_.decode(call->upstream, std::move(response));
          },
          [&](http1::ExchangeFailure& failure) {
            ForwardReply failed;
            failed.outcome = failure.was_sent ? LeafOutcome::kLost
                                              : LeafOutcome::kUnreachable;
            failed.error = std::move(failure.error);
            return failed;
          }},
      result);
  Finish(call, std::move(reply));
}

void ForwardClient::Impl::EndAfter(const std::shared_ptr<Call>& call,
                                   base::Duration delay) {
  call->timer.Cancel();
  call->timer = traffic_.After(delay, [self = shared_from_this(), call] {
    if (call->is_finished) {
      return;
    }
    ForwardReply reply;
    reply.outcome =
        call->has_left ? LeafOutcome::kTimeout : LeafOutcome::kUnreachable;
    reply.error = base::MakeError(
        ErrorCode::kTimeout,
        call->has_left ? Step::kReadUpstream : Step::kSendUpstream,
        call->upstream.address,
        call->has_left ? "no reply in time"
                       : "connection not established in time");
    if (auto running = call->connection.lock()) {
      running->Abort();
    }
    self->Finish(call, std::move(reply));
  });
}

void ForwardClient::Impl::Finish(const std::shared_ptr<Call>& call,
                                 ForwardReply reply) {
  if (std::exchange(call->is_finished, true)) {
    return;
  }
  call->timer.Cancel();
  reply.service_time = clock_.Now() - call->sent;
  const auto done = std::exchange(call->done, nullptr);
  done(std::move(reply));
}

ForwardClient::ForwardClient(
    ForwardClientSettings settings,
    boost::asio::io_context& context,
    base::Clock clock,
    base::TaskRunner traffic,
    ForwardCodec codec,
    std::function<double(const blackboard::Upstream&)> connection_share)
    : impl_(std::make_shared<Impl>(settings,
                                   context,
                                   std::move(clock),
                                   std::move(traffic),
                                   std::move(codec),
                                   std::move(connection_share))) {}

ForwardClient::~ForwardClient() = default;

ForwardPort ForwardClient::port() {
  return {[impl = impl_](const blackboard::Upstream& upstream, ForwardCall call,
                         ForwardPort::Callback done) {
            return impl->Send(upstream, std::move(call), std::move(done));
          },
          [impl = impl_](const blackboard::Upstream& upstream,
                         const std::string& request_id) {
            return impl->ReadinessOf(upstream, request_id);
          },
          [impl = impl_](const blackboard::Upstream& upstream) {
            impl->Prepare(upstream);
          }};
}

void ForwardClient::Prune(const blackboard::UpstreamsView& view) {
  impl_->Prune(view);
}

void ForwardClient::CloseSpare() {
  impl_->CloseSpare();
}

ForwardClientCounters ForwardClient::counters() const {
  return impl_->counters_;
}

}  // namespace medlarspread::upstream
