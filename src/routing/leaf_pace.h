// Limits how many requests this daemon keeps in flight at one leaf, so that
// they are answered within their latency target.
//
// A shard whose leaves have all become slow can serve only a fraction of its
// requests. In first-come, first-served order no request would be answered in
// time, because each waits behind requests that have already timed out. A
// daemon therefore sends a leaf only as many requests as it answers in time.
// Requests beyond that are answered early without the shard if their coverage
// target allows it.
//
// The window uses additive increase and multiplicative decrease (AIMD), as TCP
// congestion control does, so daemons that share a leaf converge on their
// shares without coordination. There is no window until a reply is late. It
// then starts at kInitialWindow, which a single pause of a healthy leaf cannot
// reduce to an effective limit, or at the number of requests in flight if that
// is larger. It is removed once it has grown back to kInitialWindow. A window
// below one stands for a minimum time between two sends.
//
// Pure decision code; used on one sequence.

#ifndef MEDLARSPREAD_ROUTING_LEAF_PACE_H_
#define MEDLARSPREAD_ROUTING_LEAF_PACE_H_

#include <cstddef>
#include <optional>

#include "src/base/clock.h"

namespace medlarspread::routing {

class LeafPace {
 public:
  // Whether one more request is expected to be answered in time.
  bool MaySend(std::size_t in_flight, base::MonotonicTime now) const;
  void DidSend(base::MonotonicTime now) { last_send_ = now; }
  // A request ended `time` after it was sent, within its latency target or not.
  // `in_flight` other requests remain at the leaf.
  void DidEnd(bool is_in_time,
              base::Duration time,
              std::size_t in_flight,
              base::MonotonicTime now);

 private:
  void DidEndInTime();

  // In requests; absent while there is no limit.
  std::optional<double> window_;
  base::MonotonicTime last_send_;
  // When a late reply last reduced the window.
  base::MonotonicTime last_decrease_;
  // Duration of the last request.
  base::Duration last_duration_{};
};

}  // namespace medlarspread::routing

#endif  // MEDLARSPREAD_ROUTING_LEAF_PACE_H_
