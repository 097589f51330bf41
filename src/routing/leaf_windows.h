// The in-flight limits of all leaves that this daemon sends to. Shared by the
// dispatchers, because a leaf may serve several of them while shards move.

#ifndef MEDLARSPREAD_ROUTING_LEAF_WINDOWS_H_
#define MEDLARSPREAD_ROUTING_LEAF_WINDOWS_H_

#include <map>
#include <mutex>
#include <string>

#include "src/admission/leaf_window.h"
#include "src/base/clock.h"
#include "src/blackboard/views.h"
#include "src/routing/policy.h"
#include "src/upstream/leaf_port.h"

namespace medlarspread::routing {

// Safe to use from any thread.
class LeafWindows {
 public:
  LeafWindows(Policy policy, base::Clock clock);

  // Takes one slot at the leaf; returns false if none is free.
  bool TryAcquire(const blackboard::Upstream& upstream);
  // Returns the slot and updates the leaf's limit from the reply.
  void Release(const std::string& upstream, const upstream::LeafReply& reply);

  bool has_room(const blackboard::Upstream& upstream);
  int in_flight(const blackboard::Upstream& upstream);
  int limit(const blackboard::Upstream& upstream);

 private:
  struct Row {
    admission::LeafWindow window;
    // Used only by RandomReplicaPolicy, which has no limit and bypasses the
    // window.
    int unlimited_in_flight = 0;
    // The cold start that the window has already been adapted to.
    base::MonotonicTime cold_since;
  };

  Row& RowOf(const blackboard::Upstream& upstream);
  // Restarts the window's slow start if the leaf has had a cold start since its
  // last use.
  static void NoteColdStart(const blackboard::Upstream& upstream, Row& row);

  const Policy policy_;
  const base::Clock clock_;
  std::mutex mutex_;
  std::map<std::string, Row> rows_;
};

}  // namespace medlarspread::routing

#endif  // MEDLARSPREAD_ROUTING_LEAF_WINDOWS_H_
