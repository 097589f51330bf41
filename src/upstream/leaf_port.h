// What the routing code asks of a leaf and what it can learn from the reply.
// On a daemon upstream::LeafClient fills the port in; in tests a fake does.

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
  // Unique over all attempts of all daemons and incarnations.
  std::string attempt_id;
  std::string request_id;
  std::string class_name;
  std::string collection;
  blackboard::Snapshot snapshot;
  blackboard::KeyRange range;
  // Time left; passed on to the leaf.
  base::Duration deadline_left{};
  bool is_at_most_once = false;
  // The caller's query as JSON text.
  std::string query;
};

enum class LeafOutcome {
  // The whole answer for the requested range and snapshot.
  kAnswered,
  // Refused by the leaf, which says that it did not run the request.
  kWrongSnapshot,
  kShed,
  kDraining,
  kCold,
  // The connection was refused: nothing was sent.
  kUnreachable,
  // Another incarnation has the address by now; it did not run the request.
  kReplaced,
  // The leaf ran the request and reports a failure of its own.
  kFailed,
  // The request may have run: no reply in time, connection lost, or a reply
  // that is truncated, malformed or for something else.
  kTimeout,
  kLost,
  kMismatch,
};

const char* LeafOutcomeName(LeafOutcome outcome);

// Whether the leaf may have run the request although there is no answer.
bool MayHaveRun(LeafOutcome outcome);

struct LeafReply {
  LeafOutcome outcome = LeafOutcome::kLost;
  // A JSON array, as text. Set only when answered.
  std::string items;
  base::Duration service_time{};
  // What the reply says of the leaf; absent when there was no reply.
  std::optional<blackboard::UpstreamState> state;
  // What the leaf holds; set on kWrongSnapshot.
  std::vector<blackboard::Holding> holdings;
  base::Duration retry_after{};
  // Set unless answered; carries the step and the leaf's address.
  base::Error error;
};

struct LeafPort {
  using Callback = std::function<void(LeafReply)>;

  // Calls back once, from any traffic thread, at the latest when the deadline
  // has passed.
  std::function<void(const blackboard::Upstream&, LeafRequest, Callback)> send;
  // Best effort: the leaf drops the work if it has not finished.
  std::function<void(const blackboard::Upstream&, std::string attempt_id)>
      cancel;
};

}  // namespace medlarspread::upstream

#endif  // MEDLARSPREAD_UPSTREAM_LEAF_PORT_H_
