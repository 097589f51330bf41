// Estimates the lag of an event loop: how long work waits for its thread.
//
// While requests arrive, a probe task is posted to the loop. The time until it
// runs approximates how long a request waited between becoming readable and
// being read. A busy small VM reads requests tens of milliseconds late, and
// that delay already counts against the callers' deadlines.
//
// Must be used on the thread of the loop.

#ifndef MEDLARSPREAD_BASE_LOOP_LAG_H_
#define MEDLARSPREAD_BASE_LOOP_LAG_H_

#include <functional>
#include <memory>

#include "src/base/clock.h"

namespace medlarspread::base {

class LoopLag {
 public:
  // Queues a task after all tasks that wait for the thread.
  using Post = std::function<void(std::function<void()>)>;

  LoopLag(Clock clock, Post post);

  // The estimated lag of work that starts now. Starts a new measurement unless
  // one is running.
  Duration Estimate();
  // Announces when the next run of a periodic task of the loop is due; the task
  // calls this each time it has run. A late run means that the thread was
  // blocked, as on a frozen VM, and that whatever it reads next has waited too.
  void ExpectTick(MonotonicTime due);

 private:
  struct State {
    // When the running measurement started; zero if none is running.
    MonotonicTime probe_started;
    Duration last_lag{};
    MonotonicTime measured_at;
    // When the next tick is due; zero if none is expected.
    MonotonicTime tick_due;
  };

  const Clock clock_;
  const Post post_;
  // Shared with the probe task.
  const std::shared_ptr<State> state_ = std::make_shared<State>();
};

}  // namespace medlarspread::base

#endif  // MEDLARSPREAD_BASE_LOOP_LAG_H_
