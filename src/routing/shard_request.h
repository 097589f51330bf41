// A request for one shard of a query, passed from the query session to the
// queue that sends it to a leaf, and its result.

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

// Times are readings of the local clock. Messages between daemons carry them as
// remaining durations.
struct ShardRequest {
  std::string request_id;
  std::string class_name;
  std::string collection;
  blackboard::Snapshot snapshot;
  blackboard::KeyRange range;
  // When the latency target of the class passes, and when the caller stops
  // waiting.
  base::MonotonicTime target_due;
  base::MonotonicTime deadline;
  // The caller's query as JSON text, shared by all shards of the request.
  std::shared_ptr<const std::string> query;
  // A second send on behalf of another region: goes to the head of the queue.
  bool is_hedge = false;
  // Must not be sent again once a byte of it may have been sent.
  bool is_at_most_once = false;
};

enum class ShardOutcome {
  kAnswered,
  // Not run: no usable replica holds the snapshot any more.
  kWrongSnapshot,
  // Not run: expired in the queue or refused by the leaves.
  kRefused,
  // May have run, but there is no answer.
  kUnknown,
};

const char* ShardOutcomeName(ShardOutcome outcome);

// Load of one shard's queue at its owner.
struct ShardLoad {
  int queued = 0;
  int running = 0;
  int slots = 0;
  // Expected wait of a new request of the same class.
  base::Duration expected_wait{};
  // How much longer the fastest replica takes than is typical for the
  // collection; zero if it is not notably slower.
  base::Duration service_excess{};
};

struct ShardResult {
  ShardOutcome outcome = ShardOutcome::kUnknown;
  // A JSON array as text; set only if answered.
  std::string items;
  // The leaf that answered or failed last; empty if the request was never sent.
  std::string upstream;
  // Number of sends to leaves.
  int sends = 0;
  base::Duration service_time{};
  // Time between the arrival at the owner and this result.
  base::Duration held{};
  base::Duration retry_after{};
  // Set unless answered.
  base::Error error;
  ShardLoad load;
};

using ShardCallback = std::function<void(ShardResult)>;

}  // namespace medlarspread::routing

#endif  // MEDLARSPREAD_ROUTING_SHARD_REQUEST_H_
