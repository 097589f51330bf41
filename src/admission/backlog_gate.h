// Refuses requests that could not be answered within their latency target
// because too much admitted work is queued ahead of them at the leaves.
//
// An overloaded leaf first queues requests and then refuses them. A request to
// all shards needs nearly all of them, so if each shard refuses a few requests,
// nearly every request fails after most of its work was done. Admitting only as
// much as can be answered in time keeps the goodput at the capacity of the
// leaves. Other requests are refused before anything is sent, with a time after
// which to retry.
//
// The backlog is measured as service time at one leaf, summed over the admitted
// requests that are still within their latency target. A request past its
// target is waiting for something other than the queue. Less urgent requests
// may use only a part of the permitted wait, so that more urgent classes keep
// the rest.
//
// A daemon sees only its own requests, and callers are spread unevenly over the
// daemons. The limit is therefore generous until requests fail because leaves
// refused them. Each such failure reduces the limit, which recovers over time.
//
// Pure decision code; used on one sequence.

#ifndef MEDLARSPREAD_ADMISSION_BACKLOG_GATE_H_
#define MEDLARSPREAD_ADMISSION_BACKLOG_GATE_H_

#include <cstdint>
#include <map>

#include "src/base/clock.h"

namespace medlarspread::admission {

// Expected cost and urgency of one request.
struct ExpectedWork {
  // Service time at one leaf without queueing; zero if not known.
  base::Duration service_time{};
  // Total time in which the request must be answered to meet its target.
  base::Duration time_to_target{};
  // 0 is the most urgent.
  int priority = 0;
};

class BacklogGate {
 public:
  BacklogGate();

  // How long a request that arrives now would wait at leaves that serve `slots`
  // requests of this daemon concurrently.
  base::Duration ExpectedWait(double slots, base::MonotonicTime now);
  // Whether the request is expected to be answered within its target. Requests
  // with an unknown service time are admitted.
  bool MayAdmit(const ExpectedWork& work,
                double slots,
                base::MonotonicTime now);

  // A request has failed because leaves refused it. This counts as overload
  // only if the backlog is large, since leaves may refuse for other reasons.
  void DidOverload(const ExpectedWork& work,
                   double slots,
                   base::MonotonicTime now);

  // Adds an admitted request to the backlog.
  void DidAdmit(std::uint64_t id,
                const ExpectedWork& work,
                base::MonotonicTime now);
  void DidFinish(std::uint64_t id);

 private:
  struct Row {
    base::MonotonicTime due;
    base::Duration service_time;
  };

  // Longest expected wait at the leaves with which the request is admitted.
  base::Duration MaxWait(const ExpectedWork& work) const;
  void DropPastTarget(base::MonotonicTime now);
  void RaiseLimit(base::MonotonicTime now);

  // Admitted requests that are within their targets, by identifier.
  std::map<std::uint64_t, Row> rows_;
  // Invariant: the sum of `service_time` over all rows.
  base::Duration backlog_{};
  // Permitted wait in the leaves' queues as a multiple of the time that the
  // target leaves for it.
  double wait_factor_;
  base::MonotonicTime last_raised_;
  base::MonotonicTime last_reduced_;
};

}  // namespace medlarspread::admission

#endif  // MEDLARSPREAD_ADMISSION_BACKLOG_GATE_H_
