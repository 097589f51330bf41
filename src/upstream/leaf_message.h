// The bodies of the upstream interface: what is written to a leaf and what its
// replies mean. Pure functions; no I/O.

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

// `POST /v1/cancel` for an attempt that is no longer wanted.
http::Request EncodeCancel(const std::string& attempt_id);

// What `result`, the end of the exchange with the leaf at `peer`, means for
// `request`. Never throws, whatever the body holds. A 200 counts as answered
// only if it names this very attempt, request, collection, snapshot and range
// and has as many items as it says; a refusal counts as "not run" only if it
// says so. Everything else may have run.
LeafReply DecodeReply(const LeafRequest& request,
                      const std::string& peer,
                      const base::Result<http::Response>& result);

// What `GET /v1/health` says of a leaf. `name` is absent if the body gives
// none.
struct LeafHealth {
  std::optional<std::string> name;
  std::optional<std::string> collection;
  blackboard::UpstreamState state = blackboard::UpstreamState::kServing;
  int slots = 1;
  int connections = 1;
  std::vector<blackboard::Holding> holdings;
};

// kMalformed if the body lacks a field or holds an invalid one.
base::Result<LeafHealth> DecodeHealth(
    const std::string& peer,
    const base::Result<http::Response>& result);

}  // namespace medlarspread::upstream

#endif  // MEDLARSPREAD_UPSTREAM_LEAF_MESSAGE_H_
