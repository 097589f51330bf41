// Implementation of membership::ProbeTracker.

#include "src/membership/probe_tracker.h"

namespace medlarspread::membership {

ProbeTracker::ProbeTracker(base::Duration answer_timeout,
                           base::Duration suspicion_timeout)
    : answer_timeout_(answer_timeout), suspicion_timeout_(suspicion_timeout) {}

void ProbeTracker::DidProbe(const std::string& name, base::MonotonicTime now) {
  pending_.try_emplace(name, Probe{now + answer_timeout_, false});
}

void ProbeTracker::DidHear(const std::string& name) {
  pending_.erase(name);
}

bool ProbeTracker::IsPending(const std::string& name) const {
  return pending_.contains(name);
}

ProbeTracker::TimedOut ProbeTracker::CheckTimeouts(base::MonotonicTime now) {
  TimedOut timed_out;
  for (auto row = pending_.begin(); row != pending_.end();) {
    Probe& probe = row->second;
    if (now < probe.deadline) {
      ++row;
    } else if (!probe.is_suspected) {
      probe.is_suspected = true;
      probe.deadline = now + suspicion_timeout_;
      timed_out.suspected.push_back(row->first);
      ++row;
    } else {
      timed_out.gone.push_back(row->first);
      row = pending_.erase(row);
    }
  }
  return timed_out;
}

void ProbeTracker::Postpone(base::Duration delay) {
  for (auto& [name, probe] : pending_) {
    probe.deadline = probe.deadline + delay;
  }
}

void ProbeTracker::Clear() {
  pending_.clear();
}

}  // namespace medlarspread::membership
