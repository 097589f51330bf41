// The interface through which the routing code sends requests to leaves. It is
// implemented by upstream::LeafClient, and by a fake in tests.

#ifndef MEDLARSPREAD_UPSTREAM_LEAF_PORT_H_
#define MEDLARSPREAD_UPSTREAM_LEAF_PORT_H_

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "src/base/clock.h"
#include "src/base/error.h"
#include "src/blackboard/views.h"

namespace medlarspread::upstream {

struct LeafRequest {
  // Unique among all attempts of all daemons and incarnations.
  std::string attempt_id;
  std::string request_id;
  std::string class_name;
  std::string collection;
  blackboard::Snapshot snapshot;
  blackboard::KeyRange range;
  // Remaining time; sent to the leaf.
  base::Duration deadline_left{};
  bool is_at_most_once = false;
  // The caller's query as JSON text.
  std::string query;
};

enum class LeafOutcome {
  // The complete answer for the requested range and snapshot.
  kAnswered,
  // Refused by the leaf, which states that it did not run the request.
  kWrongSnapshot,
  kShed,
  kDraining,
  kCold,
  // The connection was refused; nothing was sent.
  kUnreachable,
  // Another incarnation now has the address; it did not run the request.
  kReplaced,
  // The leaf ran the request and reports an internal failure.
  kFailed,
  // The request may have run: no reply in time, connection lost, or a reply
  // that is truncated, malformed or belongs to something else.
  kTimeout,
  kLost,
  kMismatch,
};

const char* LeafOutcomeName(LeafOutcome outcome);

// Whether the leaf may have run the request, even without an answer.
bool MayHaveRun(LeafOutcome outcome);

struct LeafReply {
  LeafOutcome outcome = LeafOutcome::kLost;
  // A JSON array as text. Set only if answered.
  std::string items;
  base::Duration service_time{};
  // The state of the leaf according to the reply, if any.
  std::optional<blackboard::UpstreamState> state;
  // The leaf's holdings; set on kWrongSnapshot.
  std::vector<blackboard::Holding> holdings;
  base::Duration retry_after{};
  // Set unless answered. Contains the step and the leaf's address.
  base::Error error;
};

struct LeafPort {
  using Callback = std::function<void(LeafReply)>;

  // Calls back exactly once, from any traffic thread, no later than the
  // deadline.
  std::function<void(const blackboard::Upstream&, LeafRequest, Callback)> send;
  // Best effort: the leaf drops the request if it has not finished.
  std::function<void(const blackboard::Upstream&, std::string attempt_id)>
      cancel;
};

}  // namespace medlarspread::upstream

#endif  // MEDLARSPREAD_UPSTREAM_LEAF_PORT_H_
