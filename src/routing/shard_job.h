// The state of one shard request inside a dispatcher.

#ifndef MEDLARSPREAD_ROUTING_SHARD_JOB_H_
#define MEDLARSPREAD_ROUTING_SHARD_JOB_H_

#include <set>
#include <string>
#include <vector>

#include "src/base/clock.h"
#include "src/base/error.h"
#include "src/base/task_runner.h"
#include "src/blackboard/views.h"
#include "src/routing/replica_index.h"
#include "src/routing/shard_request.h"
#include "src/upstream/leaf_port.h"

namespace medlarspread::routing {

// One send to one leaf that has no reply yet.
struct ShardAttempt {
  std::string id;
  blackboard::Upstream upstream;
  base::MonotonicTime sent;
};

struct ShardJob {
  ShardRequest request;
  ShardCallback done;
  base::MonotonicTime arrived;
  std::vector<ShardAttempt> attempts;
  // Leaves that this request must not be sent to again.
  std::set<std::string> tried;
  int sends = 0;
  int retries = 0;
  bool did_second_send = false;
  // Invariant: a job is in the queue at most once at a time.
  bool is_queued = false;
  // Waits outside the queue until the request may be retried at a leaf that
  // shed it.
  bool is_backing_off = false;
  // A second send to another region that has not answered yet.
  bool is_forwarded = false;
  // Set once an attempt has ended without a reply that shows that the request
  // was not executed.
  bool may_have_run = false;
  base::Error last_error;
  base::Duration retry_after{};
  base::Timer second_send;
  base::Timer deadline;

  ShardKey key() const { return {request.snapshot, request.range}; }
  // Whether an answer may still arrive without further action.
  bool is_pending() const {
    return !attempts.empty() || is_queued || is_backing_off || is_forwarded;
  }
};

// Builds the request to a leaf for an attempt that starts at `now`.
upstream::LeafRequest MakeLeafRequest(const ShardRequest& request,
                                      const std::string& attempt_id,
                                      base::MonotonicTime now);

}  // namespace medlarspread::routing

#endif  // MEDLARSPREAD_ROUTING_SHARD_JOB_H_
