// Serves sub-queries from other daemons for the shards whose queues this daemon
// owns. Each range is submitted to the collection's dispatcher, and each result
// is sent back in its own message as soon as it is available.

#ifndef MEDLARSPREAD_ROUTING_SUB_QUERY_SERVER_H_
#define MEDLARSPREAD_ROUTING_SUB_QUERY_SERVER_H_

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "src/base/clock.h"
#include "src/peer/message.h"
#include "src/routing/dispatcher_set.h"

namespace medlarspread::routing {

// Safe to use from any thread.
class SubQueryServer : public std::enable_shared_from_this<SubQueryServer> {
 public:
  SubQueryServer(base::Clock clock,
                 peer::PeerPort peers,
                 std::shared_ptr<DispatcherSet> dispatchers);

  void DidReceive(const peer::Sender& sender,
                  const peer::wire::SubQuery& message);
  void DidReceive(const peer::Sender& sender,
                  const peer::wire::CancelSubQuery& message);
  // Cancels the peer's shards, since nobody waits for them any more.
  void DidLosePeer(const std::string& peer);

  // From now on new sub-queries are refused as not run; those already accepted
  // are completed.
  void StopAccepting();
  // Shards accepted and not yet replied to.
  int in_flight() const;

 private:
  // Peer name and sub-query identifier.
  using Key = std::pair<std::string, std::uint64_t>;
  struct Accepted {
    std::shared_ptr<Dispatcher> dispatcher;
    // Jobs in flight by range.
    std::map<blackboard::KeyRange, std::uint64_t> jobs;
  };

  // Whether the message is not a duplicate of one received before.
  bool IsFirst(const Key& key, bool is_at_most_once);
  void Accept(const Key& key, ShardRequest request);
  void Refuse(const Key& key, const ShardRequest& request);
  void DidFinish(const Key& key,
                 const ShardRequest& request,
                 const ShardResult& result);
  void CancelJobs(const Accepted& accepted);

  const base::Clock clock_;
  const peer::PeerPort peers_;
  const std::shared_ptr<DispatcherSet> dispatchers_;
  mutable std::mutex mutex_;
  // Invariant: has a row while shards of the sub-query are in flight.
  std::map<Key, Accepted> accepted_;
  // At-most-once sub-queries received so far, and their order, oldest first. A
  // duplicate must not run again even after the original is finished. Bounded
  // by kMaxRemembered: a link delivers a duplicate close to the original or not
  // at all.
  std::set<Key> seen_at_most_once_;
  std::deque<Key> seen_order_;
  bool is_accepting_ = true;
};

}  // namespace medlarspread::routing

#endif  // MEDLARSPREAD_ROUTING_SUB_QUERY_SERVER_H_
