// How many requests this daemon keeps at one leaf, so that they are answered in
// time.
//
// A shard whose leaves have all become slow can answer a part of what it is
// asked. First come, first served, nobody gets an answer in time: each waits
// behind those that have given up already. So a daemon sends a leaf no more
// than what comes back in time; the requests beyond that are answered without
// the shard, early, if their coverage target allows it.
//
// There is no window until a reply was late; it then begins wider than one
// pause of a sound leaf can narrow it to a bound, or at what was in flight if
// that is more. It grows a little with each reply in time, until it is that
// wide again, and shrinks by a part with each late one. Below one it stands for
// the time between two sends. Daemons that share a leaf find their parts
// without knowing of each other, as senders that share a network path do.
//
// Pure decision code; calls come from one sequence.

#ifndef MEDLARSPREAD_ROUTING_LEAF_PACE_H_
#define MEDLARSPREAD_ROUTING_LEAF_PACE_H_

#include <cstddef>
#include <optional>

#include "src/base/clock.h"

namespace medlarspread::routing {

class LeafPace {
 public:
  // Whether one more request would be answered in time, as far as the last ones
  // tell.
  bool MaySend(std::size_t in_flight, base::MonotonicTime now) const;
  void DidSend(base::MonotonicTime now) { sent_ = now; }
  // A request ended `time` after it was sent, in time for its target or not,
  // and left so many others at the leaf.
  void DidEnd(bool is_in_time,
              base::Duration time,
              std::size_t in_flight,
              base::MonotonicTime now);

 private:
  void DidEndInTime();

  // Requests; absent while nothing is bounded.
  std::optional<double> window_;
  base::MonotonicTime sent_;
  // When a late reply last made the window smaller.
  base::MonotonicTime shrunk_;
  // What the last request took.
  base::Duration last_time_{};
};

}  // namespace medlarspread::routing

#endif  // MEDLARSPREAD_ROUTING_LEAF_PACE_H_
