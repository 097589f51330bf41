// Sends shard requests to leaves over HTTP. There is one http::Client a leaf
// address, made on demand and dropped once it has been idle for a while, so
// that a daemon that no longer holds a leaf's queue gives its connections back.

#ifndef MEDLARSPREAD_UPSTREAM_LEAF_CLIENT_H_
#define MEDLARSPREAD_UPSTREAM_LEAF_CLIENT_H_

#include <cstddef>
#include <cstdint>
#include <memory>

#include "src/base/clock.h"
#include "src/base/task_runner.h"
#include "src/upstream/leaf_port.h"

namespace medlarspread::upstream {

struct LeafClientSettings {
  // Requests in flight to one leaf at most, cancels and timed-out ones
  // included: the HTTP library opens a connection whenever none is idle. The
  // leaf's own number of connections also bounds it, if lower.
  int max_in_flight_per_leaf = 8;
  // Of these, how many only a cancel may use.
  int reserved_for_cancel = 1;
  // A client that has sent nothing for this long is dropped with its
  // connections.
  base::Duration idle_time = base::Milliseconds(10'000);
  // How long a cancel may take.
  base::Duration cancel_timeout = base::Milliseconds(1'000);
  std::size_t max_reply_bytes = 4 << 20;
  // How long a request that could not be sent for lack of connections is told
  // to wait.
  base::Duration retry_after = base::Milliseconds(20);
};

struct LeafClientCounters {
  std::int64_t queries_sent = 0;
  // Not sent, because the leaf's connections here were all taken.
  std::int64_t queries_refused = 0;
  std::int64_t cancels_sent = 0;
  std::int64_t cancels_refused = 0;
  std::int64_t mismatches = 0;
  std::int64_t clients_opened = 0;
  std::int64_t clients_dropped = 0;
  // Now: clients kept, and requests in flight over all of them.
  int clients = 0;
  int in_flight = 0;
};

// Safe to use from any thread.
class LeafClient {
 public:
  // `traffic` gives each leaf a sequence, on which its replies are parsed and
  // its callbacks run.
  LeafClient(LeafClientSettings settings,
             base::Clock clock,
             base::TaskRunner traffic);
  // Requests in flight still call back.
  ~LeafClient();
  LeafClient(const LeafClient&) = delete;
  LeafClient& operator=(const LeafClient&) = delete;

  // Stays valid after this object is gone.
  LeafPort port();
  LeafClientCounters counters() const;

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace medlarspread::upstream

#endif  // MEDLARSPREAD_UPSTREAM_LEAF_CLIENT_H_
