// Detects failed daemons in this daemon's failure domain, similar to the SWIM
// protocol.
//
// 1. Each round probes one daemon. Every other probe goes to the successor in
//    the order of names, so that each daemon is probed regularly by one other;
//    the rest go to all daemons in shuffled order, so that the loss of adjacent
//    daemons is detected too and updates spread fast.
// 2. An unanswered probe raises a suspicion: the daemon is probed again, and
//    some other daemons are asked to probe it as well. These probes carry the
//    suspicion, the suspected daemon refutes it in its answer, and the helpers
//    forward the refutation.
// 3. A daemon that does not refute a suspicion in time is declared gone. This
//    is broadcast at once, also to the daemon itself, so that it can still
//    refute it if it is alive.
//
// Suspicions about daemons of another domain are handled in the same way, but
// only that domain itself declares them gone.

#ifndef MEDLARSPREAD_MEMBERSHIP_FAILURE_DETECTOR_H_
#define MEDLARSPREAD_MEMBERSHIP_FAILURE_DETECTOR_H_

#include <cstddef>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "src/base/clock.h"
#include "src/base/log.h"
#include "src/base/random.h"
#include "src/membership/member_table.h"
#include "src/membership/membership_settings.h"
#include "src/membership/messenger.h"
#include "src/membership/probe_tracker.h"

namespace medlarspread::membership {

class FailureDetector {
 public:
  // References must outlive this object.
  FailureDetector(const MembershipSettings& settings,
                  const base::Clock& clock,
                  base::Random& random,
                  base::Log log,
                  MemberTable& table,
                  Messenger& messenger);

  // Probes the next `count` daemons, alternating between the successor in the
  // order of names and a random one.
  void ProbeNext(std::size_t count);
  // Sends one probe, without a timeout, to a daemon that may be gone.
  void ProbeAbsent(const std::string& name);

  // A message came from the daemon itself.
  void DidHear(const std::string& name);
  // The daemon has refuted a suspicion, as learned from itself or from others.
  void DidRefute(const std::string& name);
  // `requester` asks this daemon to probe a suspected VM on its behalf.
  void DidRequestProbe(const Record& suspected, const std::string& requester);

  // Probes the daemon with the suspicion attached and asks `helpers` to do so
  // too.
  void ProbeIndirectly(const std::string& name,
                       std::vector<std::string> helpers);

  // Handles probes that timed out. Returns whether a daemon was declared gone.
  bool CheckTimeouts();

  // Extends all timeouts by `delay`, for which this daemon itself was delayed.
  void Postpone(base::Duration delay);
  // Drops all pending probes and suspicions.
  void Clear();

 private:
  // The daemons that asked for a probe of one VM, and when their requests
  // expire.
  struct ProbeRequesters {
    std::set<std::string> names;
    base::MonotonicTime expires;
  };

  void Probe(const std::string& name);
  std::string Successor() const;
  std::string NextInRotation();
  void Suspect(const std::string& name);
  void DeclareGone(const std::vector<std::string>& names);

  const MembershipSettings& settings_;
  const base::Clock clock_;
  base::Random& random_;
  const base::Log log_;
  MemberTable& table_;
  Messenger& messenger_;
  ProbeTracker probes_;
  bool is_successor_next_ = false;
  // Daemons still to be probed in this pass over the domain.
  std::vector<std::string> remaining_;
  std::map<std::string, ProbeRequesters> requesters_;
};

}  // namespace medlarspread::membership

#endif  // MEDLARSPREAD_MEMBERSHIP_FAILURE_DETECTOR_H_
