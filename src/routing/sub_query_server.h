// Serves the shards that other daemons ask this one for as the owner of their
// queues: each range goes to the collection's dispatcher, each result back as a
// message of its own as soon as it is there.

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
  // Nobody waits for the peer's shards any more.
  void DidLosePeer(const std::string& peer);

  // From now on new sub-queries are refused as not run; those accepted before
  // are finished.
  void StopAccepting();
  // Shards accepted and not yet replied to.
  int in_flight() const;

 private:
  // Peer name and sub-query identifier. Invariant: has a row while shards of
  // it are in flight.
  using Key = std::pair<std::string, std::uint64_t>;
  struct Accepted {
    std::shared_ptr<Dispatcher> dispatcher;
    // Jobs in flight by range.
    std::map<blackboard::KeyRange, std::uint64_t> jobs;
  };

  // Whether the message may be served: not a repetition of one seen before.
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
  std::map<Key, Accepted> accepted_;
  // At-most-once sub-queries seen, oldest first. A repeated message must not
  // run again even after the first is finished. Bounded by kRemembered: a link
  // delivers a repetition close to the original or not at all.
  std::set<Key> remembered_;
  std::deque<Key> remembered_order_;
  bool is_accepting_ = true;
};

}  // namespace medlarspread::routing

#endif  // MEDLARSPREAD_ROUTING_SUB_QUERY_SERVER_H_
