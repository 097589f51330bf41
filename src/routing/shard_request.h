// One shard's part of a query, from the session that asks to the queue that
// sends it to a leaf, and its outcome on the way back.

#ifndef MEDLARSPREAD_ROUTING_SHARD_REQUEST_H_
#define MEDLARSPREAD_ROUTING_SHARD_REQUEST_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "src/base/clock.h"
#include "src/base/error.h"
#include "src/blackboard/views.h"

namespace medlarspread::routing {

// Times are readings of the clock of the daemon that holds the request; they
// travel between daemons as durations left.
struct ShardRequest {
  std::string request_id;
  std::string class_name;
  std::string collection;
  blackboard::Snapshot snapshot;
  blackboard::KeyRange range;
  // When the class's latency target is over, and when the caller gives up.
  base::MonotonicTime target_due;
  base::MonotonicTime deadline;
  // The caller's query as JSON text, shared by all shards of the request.
  std::shared_ptr<const std::string> query;
  // A second send on behalf of another region: goes to the head of the queue.
  bool is_hedge = false;
  // Sent to one leaf once, never again after a byte may have left.
  bool is_at_most_once = false;
};

enum class ShardOutcome {
  kAnswered,
  // Not run: no replica here holds the snapshot any more.
  kWrongSnapshot,
  // Not run: given up in the queue or refused by the leaves.
  kRefused,
  // May have run, but there is no answer.
  kUnknown,
};

const char* ShardOutcomeName(ShardOutcome outcome);

// How full the queue of one shard is at its owner.
struct ShardLoad {
  int queued = 0;
  int running = 0;
  int slots = 0;
  // Expected wait of a request of the same class that arrives now.
  base::Duration expected_wait{};
  // By how much the fastest replica here takes longer than leaves of the
  // collection usually do; zero if it does not stand out.
  base::Duration service_excess{};
};

struct ShardResult {
  ShardOutcome outcome = ShardOutcome::kUnknown;
  // A JSON array as text; set only when answered.
  std::string items;
  // The leaf that answered or failed last; empty if none was asked.
  std::string upstream;
  // How many times the shard was sent to a leaf.
  int sends = 0;
  base::Duration service_time{};
  // Time between arrival at the owner and this result.
  base::Duration held{};
  base::Duration retry_after{};
  // Set unless answered.
  base::Error error;
  ShardLoad load;
};

using ShardCallback = std::function<void(ShardResult)>;

}  // namespace medlarspread::routing

#endif  // MEDLARSPREAD_ROUTING_SHARD_REQUEST_H_
