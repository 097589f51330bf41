// What the routing code asks of a leaf that answers opaque requests, and what
// it learns from the reply. On a daemon upstream::ForwardClient fills the port
// in; in tests a fake does.

#ifndef MEDLARSPREAD_UPSTREAM_FORWARD_PORT_H_
#define MEDLARSPREAD_UPSTREAM_FORWARD_PORT_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "src/base/clock.h"
#include "src/base/error.h"
#include "src/blackboard/views.h"
#include "src/http1/message.h"
#include "src/upstream/leaf_port.h"

namespace medlarspread::upstream {

// What a daemon is told of a part that another one hands to it.
struct Handover {
  // The revision of the routes that the shards were taken from: both must see
  // the same. Zero in a probe, which asks only whether the daemon lives.
  std::int64_t routes_revision = 0;
  // The collections of the part.
  std::vector<std::string> shards;
  // Set once the part should be answered as soon as no more than so many of its
  // shards are missing.
  std::optional<int> most_missing;
  // Leaves of each shard that another daemon, which was handed the part before,
  // may have sent it to.
  int leaves_of_others = 0;
};

struct ForwardCall {
  std::string request_id;
  // What the caller sent, without the fields that concern its connection.
  std::shared_ptr<const http1::Request> message;
  // Passed on to the leaf, which stops when it is used up.
  base::Duration time_left{};
  // Set if it goes to a daemon and not to a leaf.
  std::optional<Handover> handover = {};
};

struct ForwardReply {
  LeafOutcome outcome = LeafOutcome::kLost;
  // The leaf's answer, byte for byte. Set for kAnswered and kFailed.
  http1::Response message;
  // The leaf's proof that it made this answer to this request.
  std::string proof;
  // From the send, connecting included, to the reply.
  base::Duration service_time{};
  // When the leaf asks to come back; zero if it names no time.
  base::Duration retry_after{};
  // A peer's answer to a probe: how many shards of the part are missing now;
  // absent if it has no such part in work.
  std::optional<int> missing_shards = {};
  // Of a peer's refusal: leaves got the part, and each of them rejected it.
  bool did_reach_leaves = false;
  // The proofs of the shards that are in a peer's answer.
  std::vector<std::string> shard_proofs;
  // Set unless answered; carries the step and the leaf's address.
  base::Error error;
};

// A request that is on its way.
struct SentCall {
  // The caller has left: the leaf should stop at once. No callback follows.
  std::function<void()> cancel;
  // The reply is no longer needed, but may still tell when the leaf is back.
  // The callback follows within the time that the client waits for that.
  std::function<void()> let_linger;
  // Whether a byte of the request may have left this daemon. One that was
  // cancelled before it left has not run and never will.
  std::function<bool()> has_left;
};

enum class Readiness {
  // A connection is open and free.
  kOpen,
  // A connection has to be opened first.
  kMustConnect,
  // All connections that this daemon may have are in use.
  kFull,
};

struct ForwardPort {
  using Callback = std::function<void(ForwardReply)>;

  // Calls back once, never before it has returned.
  std::function<SentCall(const blackboard::Upstream&, ForwardCall, Callback)>
      send;
  // How soon a request to the leaf could leave.
  std::function<Readiness(const blackboard::Upstream&)> readiness;
  // Opens a connection to the leaf, if none is free and one may be opened.
  std::function<void(const blackboard::Upstream&)> prepare;
};

}  // namespace medlarspread::upstream

#endif  // MEDLARSPREAD_UPSTREAM_FORWARD_PORT_H_
