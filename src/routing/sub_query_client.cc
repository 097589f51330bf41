// Sending of sub-queries and matching of replies.

#include "src/routing/sub_query_client.h"

#include <algorithm>
#include <utility>

#include "src/routing/wire_conversion.h"

namespace medlarspread::routing {

namespace {

using base::ErrorCode;
using base::Step;
using blackboard::KeyRange;

}  // namespace

SubQueryClient::SubQueryClient(std::uint64_t first_id,
                               base::Clock clock,
                               const blackboard::Blackboard& blackboard,
                               peer::PeerPort peers,
                               std::shared_ptr<DispatcherSet> dispatchers,
                               std::shared_ptr<LoadTable> loads)
    : clock_(std::move(clock)),
      blackboard_(blackboard),
      peers_(std::move(peers)),
      dispatchers_(std::move(dispatchers)),
      loads_(std::move(loads)),
      next_id_(first_id) {}

std::uint64_t SubQueryClient::Send(SubQueryRequest request,
                                   RangeCallback callback) {
  std::uint64_t id = 0;
  const bool is_self = request.owner == blackboard_.membership.Read()->self;
  {
    const std::lock_guard lock(mutex_);
    id = next_id_++;
    const auto now = clock_.Now();
    if (!is_self) {
      activity_[request.owner].outstanding.emplace(now, id);
    }
    pending_[id] =
        Pending{request, std::move(callback), now, {}, request.ranges};
  }
  if (is_self) {
    SendToSelf(id, request);
  } else {
    SendToPeer(id, request);
  }
  return id;
}

void SubQueryClient::SendToSelf(std::uint64_t id,
                                const SubQueryRequest& request) {
  const auto dispatcher = dispatchers_->Of(request.common.collection);
  for (const KeyRange& range : request.ranges) {
    ShardRequest shard = request.common;
    shard.range = range;
    const std::uint64_t job = dispatcher->Submit(
        std::move(shard),
        [self = shared_from_this(), id, range](ShardResult result) {
          self->Settle(id, range, std::move(result));
        });
    const std::lock_guard lock(mutex_);
    const auto row = pending_.find(id);
    if (row != pending_.end()) {
      row->second.jobs[range] = job;
    }
  }
}

void SubQueryClient::SendToPeer(std::uint64_t id,
                                const SubQueryRequest& request) {
  const auto status = peers_.send(
      request.owner, ToWire(id, request.common, request.ranges, clock_.Now()));
  if (!status.is_ok()) {
    // Nothing was sent, so nothing ran.
    FailAll(id, ShardOutcome::kRefused, status.error());
  }
}

bool SubQueryClient::Settle(std::uint64_t id,
                            const KeyRange& range,
                            ShardResult result) {
  RangeCallback callback;
  {
    const std::lock_guard lock(mutex_);
    const auto row = pending_.find(id);
    if (row == pending_.end()) {
      return false;
    }
    Pending& pending = row->second;
    if (std::erase(pending.outstanding, range) == 0) {
      return false;
    }
    const base::Duration elapsed = clock_.Now() - pending.sent;
    loads_->DidHear(pending.request.common.collection,
                    pending.request.common.class_name, range.low,
                    pending.request.region, result.load,
                    std::max(base::Duration::zero(), elapsed - result.held));
    callback = pending.callback;
    if (pending.outstanding.empty()) {
      ForgetActivity(pending, id);
      pending_.erase(row);
    }
  }
  callback(range, std::move(result));
  return true;
}

void SubQueryClient::ForgetActivity(const Pending& pending, std::uint64_t id) {
  const auto row = activity_.find(pending.request.owner);
  if (row == activity_.end()) {
    return;
  }
  std::erase_if(row->second.outstanding,
                [id](const auto& entry) { return entry.second == id; });
}

void SubQueryClient::Cancel(std::uint64_t id) {
  std::optional<Pending> cancelled;
  {
    const std::lock_guard lock(mutex_);
    const auto row = pending_.find(id);
    if (row == pending_.end()) {
      return;
    }
    cancelled = std::move(row->second);
    ForgetActivity(*cancelled, id);
    pending_.erase(row);
  }
  if (cancelled->request.owner == blackboard_.membership.Read()->self) {
    const auto dispatcher =
        dispatchers_->Of(cancelled->request.common.collection);
    for (const KeyRange& range : cancelled->outstanding) {
      dispatcher->Cancel(cancelled->jobs[range]);
    }
    return;
  }
  peer::wire::CancelSubQuery message;
  message.sub_query_id = static_cast<std::int64_t>(id);
  // Best effort: the owner drops the work at the deadline at the latest.
  (void)peers_.send(cancelled->request.owner, message);
}

void SubQueryClient::DidReceive(const peer::Sender& sender,
                                const peer::wire::ShardReply& reply) {
  const auto id = static_cast<std::uint64_t>(reply.sub_query_id);
  const KeyRange range = FromWire(reply.range);
  auto result = FromWire(reply);
  if (!result) {
    return;
  }
  {
    const std::lock_guard lock(mutex_);
    const auto row = pending_.find(id);
    if (row == pending_.end()) {
      return;
    }
    const SubQueryRequest& request = row->second.request;
    if (request.owner != sender.name ||
        request.common.request_id != reply.request_id ||
        request.common.snapshot != FromWire(reply.snapshot)) {
      return;
    }
  }
  Settle(id, range, std::move(*result));
}

void SubQueryClient::FailAll(std::uint64_t id,
                             ShardOutcome outcome,
                             const base::Error& error) {
  std::vector<KeyRange> outstanding;
  {
    const std::lock_guard lock(mutex_);
    const auto row = pending_.find(id);
    if (row == pending_.end()) {
      return;
    }
    outstanding = row->second.outstanding;
  }
  for (const KeyRange& range : outstanding) {
    ShardResult result;
    result.outcome = outcome;
    result.error = error;
    Settle(id, range, std::move(result));
  }
}

void SubQueryClient::DidLosePeer(const std::string& peer) {
  std::vector<std::uint64_t> lost;
  {
    const std::lock_guard lock(mutex_);
    const auto row = activity_.find(peer);
    if (row == activity_.end()) {
      return;
    }
    for (const auto& [sent, id] : row->second.outstanding) {
      lost.push_back(id);
    }
  }
  for (const std::uint64_t id : lost) {
    FailAll(id, ShardOutcome::kUnknown,
            base::MakeError(ErrorCode::kConnectionLost, Step::kPeerLink, peer,
                            "link lost with replies outstanding"));
  }
}

bool SubQueryClient::is_silent(const std::string& peer) const {
  const std::lock_guard lock(mutex_);
  const auto row = activity_.find(peer);
  if (row == activity_.end() || row->second.outstanding.empty()) {
    return false;
  }
  const auto silent_since =
      std::max(row->second.last_heard, row->second.outstanding.begin()->first);
  return clock_.Now() - silent_since >= kSilenceTimeout;
}

void SubQueryClient::DidHearFrom(const std::string& peer) {
  const std::lock_guard lock(mutex_);
  activity_[peer].last_heard = clock_.Now();
}

}  // namespace medlarspread::routing
