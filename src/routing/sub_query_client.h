// Asks queue owners for shards, this daemon itself included, and matches their
// replies. A reply counts only if it comes from the daemon that was asked and
// names the sub-query, the request, the snapshot and a range that is still
// owed; anything else is late, crossed or doubled and is dropped.

#ifndef MEDLARSPREAD_ROUTING_SUB_QUERY_CLIENT_H_
#define MEDLARSPREAD_ROUTING_SUB_QUERY_CLIENT_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "src/base/clock.h"
#include "src/blackboard/blackboard.h"
#include "src/peer/message.h"
#include "src/routing/dispatcher_set.h"
#include "src/routing/load_table.h"
#include "src/routing/shard_request.h"

namespace medlarspread::routing {

// One owner's part of a query: `common` with each of `ranges`.
struct SubQueryRequest {
  std::string owner;
  std::string region;
  ShardRequest common;
  std::vector<blackboard::KeyRange> ranges;
};

using RangeCallback =
    std::function<void(const blackboard::KeyRange&, ShardResult)>;

// Safe to use from any thread.
class SubQueryClient : public std::enable_shared_from_this<SubQueryClient> {
 public:
  // `first_id` must differ between incarnations, so that a reply meant for an
  // earlier one is never taken.
  SubQueryClient(std::uint64_t first_id,
                 base::Clock clock,
                 const blackboard::Blackboard& blackboard,
                 peer::PeerPort peers,
                 std::shared_ptr<DispatcherSet> dispatchers,
                 std::shared_ptr<LoadTable> loads);

  // `callback` runs once per range, from any traffic thread, possibly before
  // this returns; never for a range that was cancelled before. Sets no timer:
  // an owner that stays silent is the caller's to notice.
  std::uint64_t Send(SubQueryRequest request, RangeCallback callback);
  void Cancel(std::uint64_t id);

  void DidReceive(const peer::Sender& sender,
                  const peer::wire::ShardReply& reply);
  // All ranges that the peer owes end as unknown.
  void DidLosePeer(const std::string& peer);

  // Whether the peer owes replies and nothing has been heard from it for
  // kSilence: frozen, cut off or badly overloaded.
  bool is_silent(const std::string& peer) const;
  // Any message from the peer is a sign of life.
  void DidHearFrom(const std::string& peer);

  static constexpr base::Duration kSilence = base::Milliseconds(150);

 private:
  struct Pending {
    SubQueryRequest request;
    RangeCallback callback;
    base::MonotonicTime sent;
    // Local job of each range; used only when this daemon is the owner.
    std::map<blackboard::KeyRange, std::uint64_t> jobs;
    // Invariant: not empty. The ranges still owed.
    std::vector<blackboard::KeyRange> owed;
  };

  struct PeerActivity {
    base::MonotonicTime last_heard;
    // Sub-queries that are owed, by the time they were sent.
    std::multimap<base::MonotonicTime, std::uint64_t> owed;
  };

  void SendToSelf(std::uint64_t id, const SubQueryRequest& request);
  void SendToPeer(std::uint64_t id, const SubQueryRequest& request);
  // Settles one owed range; false if it is not owed.
  bool Settle(std::uint64_t id,
              const blackboard::KeyRange& range,
              ShardResult result);
  void FailAll(std::uint64_t id,
               ShardOutcome outcome,
               const base::Error& error);
  void ForgetActivity(const Pending& pending, std::uint64_t id);

  const base::Clock clock_;
  const blackboard::Blackboard& blackboard_;
  const peer::PeerPort peers_;
  const std::shared_ptr<DispatcherSet> dispatchers_;
  const std::shared_ptr<LoadTable> loads_;
  mutable std::mutex mutex_;
  std::uint64_t next_id_;
  std::map<std::uint64_t, Pending> pending_;
  std::map<std::string, PeerActivity> activity_;
};

}  // namespace medlarspread::routing

#endif  // MEDLARSPREAD_ROUTING_SUB_QUERY_CLIENT_H_
