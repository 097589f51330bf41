// Implementation of upstream::LeafClient: a LeafPort over HTTP.

#include "src/upstream/leaf_client.h"

#include <atomic>
#include <string>
#include <utility>

#include "src/upstream/leaf_message.h"

namespace medlarspread::upstream {

using base::ErrorCode;
using base::Step;
using blackboard::Upstream;

class LeafClient::Impl : public std::enable_shared_from_this<Impl> {
 public:
  Impl(LeafClientSettings settings, base::Clock clock, base::TaskRunner traffic)
      : settings_(settings),
        clock_(clock),
        traffic_(traffic),
        connections_(std::make_shared<LeafConnections>(settings.connections,
                                                       std::move(clock),
                                                       std::move(traffic))) {
    connections_->Start();
  }

  void Send(const Upstream& upstream,
            LeafRequest request,
            LeafPort::Callback callback);
  void Cancel(const Upstream& upstream, const std::string& attempt_id);
  const std::shared_ptr<LeafConnections>& connections() const {
    return connections_;
  }
  LeafClientCounters counters() const;

 private:
  void Refuse(const std::string& address,
              ErrorCode code,
              const char* detail,
              const LeafPort::Callback& callback);

  const LeafClientSettings settings_;
  const base::Clock clock_;
  const base::TaskRunner traffic_;
  const std::shared_ptr<LeafConnections> connections_;

  std::atomic<std::int64_t> queries_sent_ = 0;
  std::atomic<std::int64_t> queries_refused_ = 0;
  std::atomic<std::int64_t> cancels_sent_ = 0;
  std::atomic<std::int64_t> cancels_refused_ = 0;
  std::atomic<std::int64_t> mismatches_ = 0;
};

void LeafClient::Impl::Send(const Upstream& upstream,
                            LeafRequest request,
                            LeafPort::Callback callback) {
  const std::string address = upstream.address;
  if (request.deadline_left.count() <= 0) {
    Refuse(address, ErrorCode::kTimeout, "the deadline has passed", callback);
    return;
  }
  const http::Request message = EncodeQuery(request);
  const base::Duration timeout = request.deadline_left;
  // Shared because the HTTP client may copy its callback.
  const auto shared_request =
      std::make_shared<const LeafRequest>(std::move(request));
  const auto on_reply =
      [self = shared_from_this(), address, shared_request, callback,
       sent = clock_.Now()](const base::Result<http::Response>& result) {
        LeafReply reply = DecodeReply(*shared_request, address, result);
        if (reply.outcome == LeafOutcome::kMismatch) {
          ++self->mismatches_;
          self->connections_->DidMismatchReply(address, sent);
        }
        callback(std::move(reply));
      };
  if (connections_->TrySend(upstream, LeafConnections::Use::kQuery, message,
                            timeout, on_reply)) {
    ++queries_sent_;
    return;
  }
  Refuse(address, ErrorCode::kOverloaded,
         "all connections to the leaf are in use", callback);
}

// Fails a request that was not sent and therefore does not run.
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
  // The answer only tells whether the leaf knew the attempt and is ignored; the
  // query's own reply tells the rest.
  const bool is_sent = connections_->TrySend(
      upstream, LeafConnections::Use::kControl, EncodeCancel(attempt_id),
      settings_.cancel_timeout, [](const base::Result<http::Response>&) {});
  ++(is_sent ? cancels_sent_ : cancels_refused_);
}

LeafClientCounters LeafClient::Impl::counters() const {
  LeafClientCounters counters;
  counters.queries_sent = queries_sent_;
  counters.queries_refused = queries_refused_;
  counters.cancels_sent = cancels_sent_;
  counters.cancels_refused = cancels_refused_;
  counters.mismatches = mismatches_;
  counters.connections = connections_->counters();
  return counters;
}

LeafClient::LeafClient(LeafClientSettings settings,
                       base::Clock clock,
                       base::TaskRunner traffic)
    : impl_(std::make_shared<Impl>(settings,
                                   std::move(clock),
                                   std::move(traffic))) {}

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

std::shared_ptr<LeafConnections> LeafClient::connections() const {
  return impl_->connections();
}

LeafClientCounters LeafClient::counters() const {
  return impl_->counters();
}

}  // namespace medlarspread::upstream
