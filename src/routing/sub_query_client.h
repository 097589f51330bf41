// Sends sub-queries to queue owners, including this daemon itself, and matches
// their replies. A reply is accepted only if it comes from the daemon that was
// asked and names the sub-query, the request, the snapshot and a range that is
// still outstanding. Any other reply is late, misdirected or a duplicate and is
// dropped.

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
  // `first_id` must differ between incarnations, so that a reply to an earlier
  // one is never accepted.
  SubQueryClient(std::uint64_t first_id,
                 base::Clock clock,
                 const blackboard::Blackboard& blackboard,
                 peer::PeerPort peers,
                 std::shared_ptr<DispatcherSet> dispatchers,
                 std::shared_ptr<LoadTable> loads);

  // `callback` runs once per range, on any traffic thread, possibly before this
  // returns; it does not run for ranges that were cancelled before. Sets no
  // timer: the caller must detect an owner that doesn't reply.
  std::uint64_t Send(SubQueryRequest request, RangeCallback callback);
  void Cancel(std::uint64_t id);

  void DidReceive(const peer::Sender& sender,
                  const peer::wire::ShardReply& reply);
  // All ranges outstanding at the peer end with kUnknown.
  void DidLosePeer(const std::string& peer);

  // Whether replies from the peer are outstanding and no message has arrived
  // from it for kSilenceTimeout, so that it may be frozen, unreachable or
  // overloaded.
  bool is_silent(const std::string& peer) const;
  // Records that any message arrived from the peer.
  void DidHearFrom(const std::string& peer);

  static constexpr base::Duration kSilenceTimeout = base::Milliseconds(150);

 private:
  struct Pending {
    SubQueryRequest request;
    RangeCallback callback;
    base::MonotonicTime sent;
    // Local job of each range; used only when this daemon is the owner.
    std::map<blackboard::KeyRange, std::uint64_t> jobs;
    // The ranges without a reply. Invariant: not empty.
    std::vector<blackboard::KeyRange> outstanding;
  };

  struct PeerActivity {
    base::MonotonicTime last_heard;
    // Identifiers of the sub-queries without a complete reply, by send time.
    std::multimap<base::MonotonicTime, std::uint64_t> outstanding;
  };

  void SendToSelf(std::uint64_t id, const SubQueryRequest& request);
  void SendToPeer(std::uint64_t id, const SubQueryRequest& request);
  // Delivers the result of one outstanding range; false if the range is not
  // outstanding.
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
