// A caller's opaque request and what it can be answered with.

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
  // The caller's; a retry of the caller comes with another one.
  std::string request_id;
  // How long the caller waits from now on.
  base::Duration deadline{};
  // How long it has waited already, here or at the daemon that handed the
  // request over. The latency target and the route's timeout include it.
  base::Duration waited{};
  // Leaves of each shard that another daemon may have sent it to already. If
  // there are any, every send of this one is an extra send.
  int leaves_of_others = 0;
  // It may reach one leaf although it is convicted, and others if that one
  // answers.
  bool is_retrial = false;
  // The shards are a part of the request's; another session merges the parts
  // and knows how many shards may be missing.
  bool is_part = false;
  std::shared_ptr<const blackboard::WorkRoute> route;
  // The revision of the routes that `route` is from.
  std::int64_t routes_revision = 0;
  // The same for every try of the same request.
  quarantine::Fingerprint fingerprint;
  // What is passed on, without the fields that concern one connection.
  std::shared_ptr<const http1::Request> message;
};

// A leaf's own answer, a failure of its own included.
struct PassedOn {
  http1::Response message;
};

// The greatest records of the shards that answered.
struct Gathered {
  std::string records;
  // One proof for each shard that is in.
  std::vector<std::string> proofs;
  int missing = 0;
};

// No route in force takes the request.
struct NoRoute {};

// Refused means that the request has not run and never will; Unknown that it
// may have.
using ForwardedAnswer =
    std::variant<PassedOn, Gathered, NoRoute, Refused, Unknown>;
// The answer as the log has it.
std::string Describe(const ForwardedAnswer& answer);

using ForwardedCallback = std::function<void(ForwardedAnswer)>;

}  // namespace medlarspread::query

#endif  // MEDLARSPREAD_QUERY_FORWARDED_REQUEST_H_
