// Graceful shutdown of a daemon: completes the requests in flight and accepts
// no new ones. The steps run in order, each after the one before is complete:
//   1. Report not ready, so that the platform's load balancer sends callers
//      elsewhere, and notify the peers, so that other daemons take over the
//      queues of this one.
//   2. Reject new requests of callers as not executed and finish those in
//      flight; then stop accepting connections.
//   3. Once the peers have had time to learn of the shutdown, reject their new
//      sub-queries as not executed and finish those in flight.
//   4. Write the state that must be kept (claims, error budget counts), then
//      close the peer links.
// A timeout or a second signal ends the shutdown early; the log then says how
// much work was cut off.

#ifndef MEDLARSPREAD_DAEMON_GRACEFUL_STOP_H_
#define MEDLARSPREAD_DAEMON_GRACEFUL_STOP_H_

#include <atomic>
#include <functional>
#include <string>
#include <vector>

#include "src/base/clock.h"
#include "src/base/log.h"

namespace medlarspread::daemon {

struct StopStep {
  std::string name;
  std::function<void()> start;
  // The number of operations still in flight; the step is complete at 0.
  std::function<int()> pending;
  // The step lasts at least this long, even if nothing is in flight.
  base::Duration min_duration{};
};

class GracefulStop {
 public:
  GracefulStop(base::Clock clock, base::Log log, base::Duration bound);

  // Runs the steps in order; blocks the calling thread. Returns false if the
  // shutdown ended early; the log then has the operations in flight per step.
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
