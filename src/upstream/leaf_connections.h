// The HTTP clients for all leaves: one per leaf address, created on demand and
// dropped after some idle time, so that a daemon that no longer holds a leaf's
// queue releases its connections. Limits the requests in flight to each leaf,
// and thereby the connections.

#ifndef MEDLARSPREAD_UPSTREAM_LEAF_CONNECTIONS_H_
#define MEDLARSPREAD_UPSTREAM_LEAF_CONNECTIONS_H_

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>

#include "src/base/clock.h"
#include "src/base/task_runner.h"
#include "src/blackboard/views.h"
#include "src/http/client.h"

namespace medlarspread::upstream {

struct LeafConnectionSettings {
  // Limit of requests in flight to one leaf, including timed-out ones, because
  // the HTTP library opens a connection whenever none is idle. The leaf's own
  // number of connections is a further limit.
  int max_in_flight_per_leaf = 8;
  // How many of these are reserved for cancels and health reads.
  int reserved_for_control = 1;
  // A client that has sent nothing for this long is dropped with its
  // connections.
  base::Duration idle_time = base::Milliseconds(10'000);
  std::size_t max_reply_bytes = 4 << 20;
};

struct LeafConnectionCounters {
  std::int64_t clients_opened = 0;
  std::int64_t clients_dropped = 0;
  // Clients replaced because a reply belonged to another request.
  std::int64_t clients_replaced = 0;
  // Current numbers of clients, and of requests in flight on all of them.
  int clients = 0;
  int in_flight = 0;
};

// Thread-safe. Must be held by a shared pointer.
class LeafConnections : public std::enable_shared_from_this<LeafConnections> {
 public:
  enum class Use { kQuery, kControl };

  // `traffic` provides a sequence for each leaf, on which its callbacks run.
  LeafConnections(LeafConnectionSettings settings,
                  base::Clock clock,
                  base::TaskRunner traffic);

  // Starts dropping idle clients. Must be called once.
  void Start();

  // Sends the request if the leaf's limit allows it; otherwise returns false
  // and never calls back. See http::Client::Send for the results.
  bool TrySend(const blackboard::Upstream& upstream,
               Use use,
               const http::Request& message,
               base::Duration timeout,
               http::Client::Callback callback);

  // A reply to a request sent at `sent` belonged to another request: replies on
  // one of the connections then open are out of order, and all later ones on it
  // would be wrong too. None of these connections is used again.
  void DidMismatchReply(const std::string& address, base::MonotonicTime sent);

  LeafConnectionCounters counters() const;

 private:
  struct Leaf;

  std::unique_ptr<http::Client> MakeClient(const std::string& address);
  std::shared_ptr<Leaf> FindOrOpen(const std::string& address);
  int LimitFor(const blackboard::Upstream& upstream, Use use) const;
  void ScheduleSweep();
  void DropIdle();

  const LeafConnectionSettings settings_;
  const base::Clock clock_;
  const base::TaskRunner traffic_;

  mutable std::mutex mutex_;
  // By address; guarded by `mutex_`.
  std::map<std::string, std::shared_ptr<Leaf>> leaves_;
  std::atomic<std::int64_t> clients_opened_ = 0;
  std::atomic<std::int64_t> clients_dropped_ = 0;
  std::atomic<std::int64_t> clients_replaced_ = 0;
};

}  // namespace medlarspread::upstream

#endif  // MEDLARSPREAD_UPSTREAM_LEAF_CONNECTIONS_H_
