// A caller's opaque request and the possible answers to it.

#ifndef MEDLARSPREAD_QUERY_FORWARDED_REQUEST_H_
#define MEDLARSPREAD_QUERY_FORWARDED_REQUEST_H_

#include <functional>
#include <memory>
#include <string>
#include <variant>
#include <vector>

#include "src/base/clock.h"
#include "src/blackboard/views.h"
#include "src/http1/message.h"
#include "src/quarantine/fingerprint.h"
#include "src/query/caller_answer.h"

namespace medlarspread::query {

struct ForwardedRequest {
  // Chosen by the caller; a retry has a new identifier.
  std::string request_id;
  // The time from now on that the caller waits for an answer.
  base::Duration deadline{};
  // How long the request has waited already, here or at the daemon that handed
  // it over. It counts towards the latency target and the route's timeout.
  base::Duration waited{};
  // The number of leaves per shard that another daemon may have sent the
  // request to already. If not 0, every send of this request is an extra send.
  int leaves_of_others = 0;
  // The request is convicted, but may be sent to one leaf again, and to others
  // if that leaf answers.
  bool is_retrial = false;
  // The shards are only a part of the request's shards. Another session merges
  // the parts and decides how many shards may be missing.
  bool is_part = false;
  std::shared_ptr<const blackboard::WorkRoute> route;
  // The revision of the routing table that `route` was taken from.
  std::int64_t routes_revision = 0;
  // The same for every retry of the request.
  quarantine::Fingerprint fingerprint;
  // The message to forward, without the header fields that apply to one
  // connection only.
  std::shared_ptr<const http1::Request> message;
};

// The response of a leaf, passed on unchanged; may be an error response.
struct LeafResponse {
  http1::Response message;
};

// The greatest records of all shards that answered.
struct MergedRecords {
  std::string records;
  // One proof for each shard that answered.
  std::vector<std::string> proofs;
  int missing = 0;
};

// No active route matches the request.
struct NoRoute {};

// Refused means that the request was not and will not be executed; Unknown
// means that it may have been.
using ForwardedAnswer =
    std::variant<LeafResponse, MergedRecords, NoRoute, Refused, Unknown>;
// Describes the answer for the log.
std::string Describe(const ForwardedAnswer& answer);

using ForwardedCallback = std::function<void(ForwardedAnswer)>;

}  // namespace medlarspread::query

#endif  // MEDLARSPREAD_QUERY_FORWARDED_REQUEST_H_
