// The planned end of a daemon: it finishes what is in flight and starts nothing
// new. Steps, each waiting for the one before:
//   1. Report not ready, so that the platform's balancer turns elsewhere, and
//      tell the peers, so that the queues of this daemon move to others.
//   2. Refuse new requests of callers as not run; finish those in flight; then
//      accept no more connections.
//   3. Once the peers have had time to hear, refuse their new sub-queries as
//      not run; finish those in flight.
//   4. Write what must last (claims, counts), then close the links.
// A bound, or a second signal, ends it early and says what was cut.

#ifndef MEDLARSPREAD_DAEMON_GRACEFUL_STOP_H_
#define MEDLARSPREAD_DAEMON_GRACEFUL_STOP_H_

#include <atomic>
#include <functional>
#include <string>
#include <vector>

#include "src/base/clock.h"
#include "src/base/log.h"

namespace medlarspread::daemon {

// One step: what it starts, and how much is still to be waited for.
struct StopStep {
  std::string name;
  std::function<void()> start;
  // Things in flight that the step waits for; the step is over at 0.
  std::function<int()> left;
  // The step lasts at least this long.
  base::Duration at_least{};
};

class GracefulStop {
 public:
  GracefulStop(base::Clock clock, base::Log log, base::Duration bound);

  // Runs the steps in order on the calling thread. Returns false if it was
  // ended early; the log then says which step had how much left.
  bool Run(const std::vector<StopStep>& steps,
           const std::atomic<bool>& should_end_now);

 private:
  bool RunStep(const StopStep& step,
               base::MonotonicTime end,
               const std::atomic<bool>& should_end_now) const;

  const base::Clock clock_;
  const base::Log log_;
  const base::Duration bound_;
};

}  // namespace medlarspread::daemon

#endif  // MEDLARSPREAD_DAEMON_GRACEFUL_STOP_H_
