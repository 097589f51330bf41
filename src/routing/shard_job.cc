// Converts a shard request into a request to a leaf.

#include "src/routing/shard_job.h"

namespace medlarspread::routing {

upstream::LeafRequest MakeLeafRequest(const ShardRequest& request,
                                      const std::string& attempt_id,
                                      base::MonotonicTime now) {
  return {.attempt_id = attempt_id,
          .request_id = request.request_id,
          .class_name = request.class_name,
          .collection = request.collection,
          .snapshot = request.snapshot,
          .range = request.range,
          .deadline_left = request.deadline - now,
          .is_at_most_once = request.is_at_most_once,
          .query = *request.query};
}

}  // namespace medlarspread::routing
