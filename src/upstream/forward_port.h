// The interface through which the routing code sends opaque requests to leaves.
// It is implemented by upstream::ForwardClient, and by a fake in tests.

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

// Parameters of a part of a request that another daemon hands over to this one.
struct Handover {
  // The revision of the routes from which the shards were taken; both daemons
  // must use the same. Zero in a probe, which only asks whether the daemon is
  // alive.
  std::int64_t routes_revision = 0;
  // The collections of the part.
  std::vector<std::string> shards;
  // If set, the part is to be answered as soon as at most this many of its
  // shards are missing.
  std::optional<int> most_missing;
  // The number of leaves of each shard to which a daemon that got the part
  // earlier may have sent it already.
  int leaves_of_others = 0;
};

struct ForwardCall {
  std::string request_id;
  // The caller's request without the fields that concern its connection.
  std::shared_ptr<const http1::Request> message;
  // Sent to the leaf, which stops when the time is used up.
  base::Duration time_left{};
  // Set if the call goes to a daemon instead of a leaf.
  std::optional<Handover> handover = {};
};

struct ForwardReply {
  LeafOutcome outcome = LeafOutcome::kLost;
  // The leaf's answer, byte for byte. Set for kAnswered and kFailed.
  http1::Response message;
  // The leaf's proof that it made this answer for this request.
  std::string proof;
  // From the send, connecting included, to the reply.
  base::Duration service_time{};
  // The retry delay that the leaf asks for; zero if it names none.
  base::Duration retry_after{};
  // A peer's answer to a probe: the number of shards of the part that are still
  // missing. Absent if the peer is not working on such a part.
  std::optional<int> missing_shards = {};
  // For a peer's refusal: leaves received the part, and each of them rejected
  // it.
  bool did_reach_leaves = false;
  // The proofs of the shards contained in a peer's answer.
  std::vector<std::string> shard_proofs;
  // Set unless answered. Contains the step and the leaf's address.
  base::Error error;
};

// A request in flight.
struct SentCall {
  // The caller disconnected, so the leaf should stop at once. No callback
  // follows.
  std::function<void()> cancel;
  // The reply is no longer needed, but may still show that the leaf is
  // responsive again. The callback follows after a short, bounded wait.
  std::function<void()> let_linger;
  // Whether a byte of the request may have been sent. A request that was
  // cancelled before that has not run and never will.
  std::function<bool()> has_left;
  // Identifies the connection in the log of this daemon; zero if there is none.
  std::int64_t connection = 0;
};

enum class Readiness {
  // A connection is open and free.
  kOpen,
  // A connection must be opened first.
  kMustConnect,
  // All connections that this daemon may open are in use.
  kFull,
};

struct ForwardPort {
  using Callback = std::function<void(ForwardReply)>;

  // Calls back exactly once, and not before it has returned.
  std::function<SentCall(const blackboard::Upstream&, ForwardCall, Callback)>
      send;
  // Whether the request could be sent to the leaf right away. A request that
  // was sent to the leaf before may need another connection than the others.
  std::function<Readiness(const blackboard::Upstream&,
                          const std::string& request_id)>
      readiness;
  // Opens a connection to the leaf if none is free and one may be opened.
  std::function<void(const blackboard::Upstream&)> prepare;
};

}  // namespace medlarspread::upstream

#endif  // MEDLARSPREAD_UPSTREAM_FORWARD_PORT_H_
