// Tracks unanswered probes and their timeouts: after the first a VM is
// suspected, after the second it is gone.

#ifndef MEDLARSPREAD_MEMBERSHIP_PROBE_TRACKER_H_
#define MEDLARSPREAD_MEMBERSHIP_PROBE_TRACKER_H_

#include <cstddef>
#include <map>
#include <string>
#include <vector>

#include "src/base/clock.h"

namespace medlarspread::membership {

class ProbeTracker {
 public:
  // A probe that is older than `answer_timeout` raises a suspicion. After
  // another `suspicion_timeout` the VM is gone.
  ProbeTracker(base::Duration answer_timeout, base::Duration suspicion_timeout);

  // Does nothing if a probe to the VM is already pending.
  void DidProbe(const std::string& name, base::MonotonicTime now);
  // A message from the VM ends its probe.
  void DidHear(const std::string& name);
  bool IsPending(const std::string& name) const;
  std::size_t size() const { return pending_.size(); }

  // Each VM is returned once as suspected and once as gone, then forgotten.
  struct TimedOut {
    std::vector<std::string> suspected;
    std::vector<std::string> gone;
  };
  TimedOut CheckTimeouts(base::MonotonicTime now);

  // Extends the deadline of every probe, because this daemon itself was delayed
  // and may not have processed the answers yet.
  void Postpone(base::Duration delay);
  void Clear();

 private:
  struct Probe {
    base::MonotonicTime deadline;
    bool is_suspected = false;
  };

  const base::Duration answer_timeout_;
  const base::Duration suspicion_timeout_;
  std::map<std::string, Probe> pending_;
};

}  // namespace medlarspread::membership

#endif  // MEDLARSPREAD_MEMBERSHIP_PROBE_TRACKER_H_
