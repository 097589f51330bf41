// Probes the other failure domains in turn and finds out which of them are
// unreachable. Runs on the delegates of a failure domain.

#ifndef MEDLARSPREAD_MEMBERSHIP_DOMAIN_PROBER_H_
#define MEDLARSPREAD_MEMBERSHIP_DOMAIN_PROBER_H_

#include <map>
#include <string>
#include <vector>

#include "src/base/clock.h"
#include "src/base/random.h"
#include "src/membership/domain_reachability.h"
#include "src/membership/failure_detector.h"
#include "src/membership/member_table.h"
#include "src/membership/membership_settings.h"
#include "src/membership/messenger.h"
#include "src/membership/probe_tracker.h"

namespace medlarspread::membership {

class DomainProber {
 public:
  // References must outlive this object.
  DomainProber(const MembershipSettings& settings,
               const base::Clock& clock,
               base::Random& random,
               MemberTable& table,
               DomainReachability& reachability,
               Messenger& messenger,
               FailureDetector& detector);

  // Runs one round of probes. Returns whether a domain became unreachable.
  bool RunRound();
  // A message came from a VM of another domain.
  void DidHear(const std::string& name);
  void Postpone(base::Duration delay);
  void Clear();

 private:
  void ProbeNextDomain();
  void ProbeFailingDomains();
  void Probe(const std::string& name);
  void Suspect(const std::string& name);

  const MembershipSettings& settings_;
  const base::Clock clock_;
  base::Random& random_;
  MemberTable& table_;
  DomainReachability& reachability_;
  Messenger& messenger_;
  FailureDetector& detector_;
  ProbeTracker probes_;
  // Domains still to be probed in this pass.
  std::vector<std::string> remaining_;
  base::MonotonicTime next_probe_;
};

}  // namespace medlarspread::membership

#endif  // MEDLARSPREAD_MEMBERSHIP_DOMAIN_PROBER_H_
