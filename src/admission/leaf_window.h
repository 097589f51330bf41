// How many requests one daemon may have in flight at one leaf. The limit adapts
// to what the leaf's replies say: it is halved when the leaf sheds, reduced
// when requests take much longer than they used to (another daemon sends as
// well, and the requests wait inside the leaf), and grown back slowly.
//
// Pure decision code: the owner passes the time in and calls from one sequence.

#ifndef MEDLARSPREAD_ADMISSION_LEAF_WINDOW_H_
#define MEDLARSPREAD_ADMISSION_LEAF_WINDOW_H_

#include <cstddef>
#include <deque>
#include <vector>

#include "src/base/clock.h"

namespace medlarspread::admission {

class LeafWindow {
 public:
  // A leaf that takes `places` requests at once from this daemon and accepts
  // `connections` connections from all daemons together. Both must be at least
  // 1.
  LeafWindow(int places, int connections);

  // Takes a place if there is one. The first form looks at the limit alone; the
  // second also honours the pause that a shed reply or a cold start asks for.
  bool TryAcquire();
  bool TryAcquire(base::MonotonicTime now);
  // Gives a place back, whatever became of the request.
  void Release();

  // What a reply told. `service_time` is the time from the send to the reply.
  // It is ignored for a shed reply.
  void DidReply(base::Duration service_time,
                bool is_shed,
                base::MonotonicTime now);
  // Sends nothing before `now + retry_after`, as the leaf asked.
  void DidAskToWait(base::Duration retry_after, base::MonotonicTime now);

  // The leaf has been cold since `since`: it gets one request at a time with
  // pauses between them, and its limit grows from there.
  void set_cold_since(base::MonotonicTime since);

  int limit() const;
  int in_flight() const { return in_flight_; }
  bool has_room() const { return in_flight_ < limit(); }
  bool has_room(base::MonotonicTime now) const {
    return has_room() && not_before_ <= now;
  }
  // Nothing may be sent before this time; the owner wakes up then.
  base::MonotonicTime not_before() const { return not_before_; }

 private:
  void DidShed(base::MonotonicTime now);
  void Learn(base::Duration service_time);
  // Compares the batch of service times just completed with earlier batches.
  void CompareWithFloor();
  void Grow(base::Duration service_time, base::MonotonicTime now);

  // Invariant: 1 <= maximum_ and kLowestLimit <= limit_ <= maximum_.
  int maximum_;
  // A limit below 1 means one request at a time with pauses in between.
  double limit_;
  // Invariant: 0 <= in_flight_. It may exceed limit_ after a reduction.
  int in_flight_ = 0;
  base::MonotonicTime not_before_;
  // The limit is halved at most once for the requests of one round trip.
  base::MonotonicTime last_halved_;
  // The typical time of an answer, 0 before the first.
  base::Duration typical_{};
  // Service times since the last comparison; at most kBatch of them.
  std::vector<base::Duration> batch_;
  // Medians of the latest batches, oldest first; at most kBatches of them.
  std::deque<base::Duration> medians_;
};

}  // namespace medlarspread::admission

#endif  // MEDLARSPREAD_ADMISSION_LEAF_WINDOW_H_
