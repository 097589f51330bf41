// The message bodies of the upstream interface: encoding of requests to a leaf
// and decoding of its replies. Pure functions without I/O.

#ifndef MEDLARSPREAD_UPSTREAM_LEAF_MESSAGE_H_
#define MEDLARSPREAD_UPSTREAM_LEAF_MESSAGE_H_

#include <optional>
#include <string>

#include "src/base/result.h"
#include "src/http/message.h"
#include "src/upstream/leaf_port.h"

namespace medlarspread::upstream {

// `POST /v1/query` for one shard.
http::Request EncodeQuery(const LeafRequest& request);

// `POST /v1/cancel` for an attempt that is no longer needed.
http::Request EncodeCancel(const std::string& attempt_id);

// Classifies `result`, the outcome of the exchange with the leaf at `peer`, as
// the reply to `request`. Never throws, whatever the body contains. A 200
// counts as answered only if it names exactly this attempt, request,
// collection, snapshot and range, and contains as many items as it states. A
// refusal counts as "not run" only if it says so. In all other cases the
// request may have run.
LeafReply DecodeReply(const LeafRequest& request,
                      const std::string& peer,
                      const base::Result<http::Response>& result);

// The health of a leaf as returned by `GET /v1/health`. `name` and `collection`
// are absent if the body does not contain them.
struct LeafHealth {
  std::optional<std::string> name;
  std::optional<std::string> collection;
  blackboard::UpstreamState state = blackboard::UpstreamState::kServing;
  int slots = 1;
  int connections = 1;
  std::vector<blackboard::Holding> holdings;
};

// Returns kMalformed if a field of the body is missing or invalid.
base::Result<LeafHealth> DecodeHealth(
    const std::string& peer,
    const base::Result<http::Response>& result);

}  // namespace medlarspread::upstream

#endif  // MEDLARSPREAD_UPSTREAM_LEAF_MESSAGE_H_
