// How long work waits for a thread that runs an event loop.
//
// While requests arrive, a small task goes round the loop; the time until it
// runs is what a request that became readable meanwhile has waited before it
// was read. A busy small VM reads requests tens of milliseconds late, and its
// callers' deadlines have been running all the time.
//
// Used on the thread of the loop.

#ifndef MEDLARSPREAD_BASE_LOOP_LAG_H_
#define MEDLARSPREAD_BASE_LOOP_LAG_H_

#include <functional>
#include <memory>

#include "src/base/clock.h"

namespace medlarspread::base {

class LoopLag {
 public:
  // Queues a task behind all that wait for the thread.
  using Post = std::function<void(std::function<void()>)>;

  LoopLag(Clock clock, Post post);

  // An estimate for work that begins now; starts the next measurement.
  Duration Estimate();
  // Something that the loop does at regular times is due then. If it is late
  // the thread stood still, as on a VM that was frozen, and whatever it reads
  // next has waited. Called when it was done, for the next time.
  void ExpectTick(MonotonicTime due);

 private:
  struct State {
    // When the running measurement began; zero if none runs.
    MonotonicTime began;
    Duration last{};
    MonotonicTime measured;
    // When the next tick is due; zero if none is expected.
    MonotonicTime tick_due;
  };

  const Clock clock_;
  const Post post_;
  // Shared with the task that goes round.
  const std::shared_ptr<State> state_ = std::make_shared<State>();
};

}  // namespace medlarspread::base

#endif  // MEDLARSPREAD_BASE_LOOP_LAG_H_
