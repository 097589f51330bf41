// Sends shard requests to leaves over HTTP and classifies their replies.

#ifndef MEDLARSPREAD_UPSTREAM_LEAF_CLIENT_H_
#define MEDLARSPREAD_UPSTREAM_LEAF_CLIENT_H_

#include <cstdint>
#include <memory>

#include "src/base/clock.h"
#include "src/base/task_runner.h"
#include "src/upstream/leaf_connections.h"
#include "src/upstream/leaf_port.h"

namespace medlarspread::upstream {

struct LeafClientSettings {
  LeafConnectionSettings connections;
  // Timeout of a cancel request.
  base::Duration cancel_timeout = base::Milliseconds(1'000);
  // The retry delay of a request that was not sent because all connections were
  // in use.
  base::Duration retry_after = base::Milliseconds(20);
};

struct LeafClientCounters {
  std::int64_t queries_sent = 0;
  // Not sent, because the deadline had passed or all connections of this daemon
  // to the leaf were in use.
  std::int64_t queries_refused = 0;
  std::int64_t cancels_sent = 0;
  std::int64_t cancels_refused = 0;
  std::int64_t mismatches = 0;
  LeafConnectionCounters connections;
};

// Thread-safe.
class LeafClient {
 public:
  // Replies are parsed and callbacks run on sequences of `traffic`, one per
  // leaf.
  LeafClient(LeafClientSettings settings,
             base::Clock clock,
             base::TaskRunner traffic);
  // Requests in flight still call back after destruction.
  ~LeafClient();
  LeafClient(const LeafClient&) = delete;
  LeafClient& operator=(const LeafClient&) = delete;

  // Stays valid after this object is destroyed.
  LeafPort port();
  // For HealthClient, which shares the limit on connections.
  std::shared_ptr<LeafConnections> connections() const;
  LeafClientCounters counters() const;

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace medlarspread::upstream

#endif  // MEDLARSPREAD_UPSTREAM_LEAF_CLIENT_H_
