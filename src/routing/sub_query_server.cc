// Tracks accepted sub-queries and drops duplicates.

#include "src/routing/sub_query_server.h"

#include "src/routing/wire_conversion.h"

namespace medlarspread::routing {

namespace {

// Time after which another owner has probably taken over from a stopping
// daemon.
constexpr base::Duration kTakeoverDelay = base::Milliseconds(100);
constexpr std::size_t kMaxRemembered = 65536;

}  // namespace

SubQueryServer::SubQueryServer(base::Clock clock,
                               peer::PeerPort peers,
                               std::shared_ptr<DispatcherSet> dispatchers)
    : clock_(std::move(clock)),
      peers_(std::move(peers)),
      dispatchers_(std::move(dispatchers)) {}

void SubQueryServer::DidReceive(const peer::Sender& sender,
                                const peer::wire::SubQuery& message) {
  const Key key(sender.name, static_cast<std::uint64_t>(message.sub_query_id));
  if (!IsFirst(key, message.is_at_most_once)) {
    return;
  }
  bool is_accepting = false;
  {
    const std::lock_guard lock(mutex_);
    is_accepting = is_accepting_;
  }
  for (ShardRequest& request : FromWire(message, clock_.Now())) {
    if (is_accepting) {
      Accept(key, std::move(request));
    } else {
      Refuse(key, request);
    }
  }
}

bool SubQueryServer::IsFirst(const Key& key, bool is_at_most_once) {
  const std::lock_guard lock(mutex_);
  if (accepted_.contains(key)) {
    return false;
  }
  if (!is_at_most_once) {
    return true;
  }
  if (!seen_at_most_once_.insert(key).second) {
    return false;
  }
  seen_order_.push_back(key);
  if (seen_order_.size() > kMaxRemembered) {
    seen_at_most_once_.erase(seen_order_.front());
    seen_order_.pop_front();
  }
  return true;
}

void SubQueryServer::Accept(const Key& key, ShardRequest request) {
  const auto dispatcher = dispatchers_->Of(request.collection);
  const blackboard::KeyRange range = request.range;
  // The lock is held during Submit(), so that the job is recorded before its
  // result arrives. The result is always delivered later, on the dispatcher's
  // sequence.
  const std::lock_guard lock(mutex_);
  Accepted& accepted = accepted_[key];
  accepted.dispatcher = dispatcher;
  accepted.jobs[range] = dispatcher->Submit(
      request, [self = shared_from_this(), key, request](ShardResult result) {
        self->DidFinish(key, request, result);
      });
}

void SubQueryServer::Refuse(const Key& key, const ShardRequest& request) {
  ShardResult result;
  result.outcome = ShardOutcome::kRefused;
  result.error =
      base::MakeError(base::ErrorCode::kStopping, base::Step::kForward, "",
                      "daemon is stopping");
  result.retry_after = kTakeoverDelay;
  (void)peers_.send(key.first, ToWire(key.second, request, result));
}

void SubQueryServer::DidFinish(const Key& key,
                               const ShardRequest& request,
                               const ShardResult& result) {
  // If the reply can't be sent, the requesting daemon treats the outcome as
  // unknown once its own timer expires or it notices the loss of the link.
  (void)peers_.send(key.first, ToWire(key.second, request, result));
  const std::lock_guard lock(mutex_);
  const auto row = accepted_.find(key);
  if (row == accepted_.end()) {
    return;
  }
  row->second.jobs.erase(request.range);
  if (row->second.jobs.empty()) {
    accepted_.erase(row);
  }
}

void SubQueryServer::CancelJobs(const Accepted& accepted) {
  for (const auto& [range, job] : accepted.jobs) {
    accepted.dispatcher->Cancel(job);
  }
}

void SubQueryServer::DidReceive(const peer::Sender& sender,
                                const peer::wire::CancelSubQuery& message) {
  const Key key(sender.name, static_cast<std::uint64_t>(message.sub_query_id));
  const std::lock_guard lock(mutex_);
  const auto row = accepted_.find(key);
  if (row != accepted_.end()) {
    CancelJobs(row->second);
    accepted_.erase(row);
  }
}

void SubQueryServer::DidLosePeer(const std::string& peer) {
  const std::lock_guard lock(mutex_);
  for (auto row = accepted_.lower_bound({peer, 0});
       row != accepted_.end() && row->first.first == peer;) {
    CancelJobs(row->second);
    row = accepted_.erase(row);
  }
}

void SubQueryServer::StopAccepting() {
  const std::lock_guard lock(mutex_);
  is_accepting_ = false;
}

int SubQueryServer::in_flight() const {
  const std::lock_guard lock(mutex_);
  int count = 0;
  for (const auto& [key, accepted] : accepted_) {
    count += static_cast<int>(accepted.jobs.size());
  }
  return count;
}

}  // namespace medlarspread::routing
