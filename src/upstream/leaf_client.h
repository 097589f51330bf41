// Sends shard requests to leaves over HTTP and judges their replies.

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
  // How long a cancel may take.
  base::Duration cancel_timeout = base::Milliseconds(1'000);
  // How long a request that could not be sent for lack of connections is told
  // to wait.
  base::Duration retry_after = base::Milliseconds(20);
};

struct LeafClientCounters {
  std::int64_t queries_sent = 0;
  // Not sent: the deadline had passed, or the leaf's connections here were all
  // taken.
  std::int64_t queries_refused = 0;
  std::int64_t cancels_sent = 0;
  std::int64_t cancels_refused = 0;
  std::int64_t mismatches = 0;
  LeafConnectionCounters connections;
};

// Safe to use from any thread.
class LeafClient {
 public:
  // Replies are parsed and callbacks run on sequences of `traffic`, one a leaf.
  LeafClient(LeafClientSettings settings,
             base::Clock clock,
             base::TaskRunner traffic);
  // Requests in flight still call back.
  ~LeafClient();
  LeafClient(const LeafClient&) = delete;
  LeafClient& operator=(const LeafClient&) = delete;

  // Stays valid after this object is gone.
  LeafPort port();
  // For HealthClient, which shares the bound on connections.
  std::shared_ptr<LeafConnections> connections() const;
  LeafClientCounters counters() const;

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace medlarspread::upstream

#endif  // MEDLARSPREAD_UPSTREAM_LEAF_CLIENT_H_
