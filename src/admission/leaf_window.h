// Adaptive limit on the requests that one daemon has in flight at one leaf. The
// limit is halved when the leaf sheds a request, reduced when requests take
// much longer than before (because other daemons also send and requests queue
// inside the leaf), and increased slowly with each answer.
//
// Pure decision code: the caller passes the time; used on one sequence.

#ifndef MEDLARSPREAD_ADMISSION_LEAF_WINDOW_H_
#define MEDLARSPREAD_ADMISSION_LEAF_WINDOW_H_

#include <cstddef>
#include <deque>
#include <vector>

#include "src/base/clock.h"

namespace medlarspread::admission {

class LeafWindow {
 public:
  // `max_concurrent` is the number of requests that the leaf takes from this
  // daemon concurrently, `connections` the number of connections that it
  // accepts from all daemons together. Both must be at least 1.
  LeafWindow(int max_concurrent, int connections);

  // Takes a slot if one is free. The first overload checks only the limit; the
  // second also respects a pause after a shed reply or a cold start.
  bool TryAcquire();
  bool TryAcquire(base::MonotonicTime now);
  // Returns a slot, whatever the outcome of the request.
  void Release();

  // Adapts the limit to a reply. `service_time` is the time from the send to
  // the reply; it is ignored for a shed reply.
  void DidReply(base::Duration service_time,
                bool is_shed,
                base::MonotonicTime now);
  // Pauses sends until `now + retry_after`, as the leaf requested.
  void PauseFor(base::Duration retry_after, base::MonotonicTime now);

  // The leaf has had a cold start at `since`: it first gets one request at a
  // time with pauses in between, and its limit grows from there (slow start).
  void set_cold_since(base::MonotonicTime since);

  int limit() const;
  int in_flight() const { return in_flight_; }
  bool has_room() const { return in_flight_ < limit(); }
  bool has_room(base::MonotonicTime now) const {
    return has_room() && not_before_ <= now;
  }
  // Nothing may be sent before this time; the caller should retry then.
  base::MonotonicTime not_before() const { return not_before_; }

 private:
  void DidShed(base::MonotonicTime now);
  void RecordServiceTime(base::Duration service_time);
  // Compares the median of the completed batch of service times with those of
  // earlier batches.
  void CompareWithBaseline();
  void Grow(base::Duration service_time, base::MonotonicTime now);

  // Invariant: 1 <= maximum_ and kMinLimit <= limit_ <= maximum_.
  int maximum_;
  // A limit below 1 means one request at a time with pauses in between.
  double limit_;
  // Invariant: 0 <= in_flight_. It may exceed limit_ after a reduction.
  int in_flight_ = 0;
  base::MonotonicTime not_before_;
  // When the limit was last halved; at most once per round trip.
  base::MonotonicTime last_halved_;
  // Running mean of the service time; 0 before the first answer.
  base::Duration typical_{};
  // Service times since the last comparison; at most kBatch of them.
  std::vector<base::Duration> batch_;
  // Medians of the latest batches, oldest first; at most kBatches of them.
  std::deque<base::Duration> medians_;
};

}  // namespace medlarspread::admission

#endif  // MEDLARSPREAD_ADMISSION_LEAF_WINDOW_H_
