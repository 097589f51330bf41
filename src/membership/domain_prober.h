// What a delegate does for its failure domain: it probes the other domains in
// turn, and finds out which of them can't be reached.

#ifndef MEDLARSPREAD_MEMBERSHIP_DOMAIN_PROBER_H_
#define MEDLARSPREAD_MEMBERSHIP_DOMAIN_PROBER_H_

#include <map>
#include <string>
#include <vector>

#include "src/base/clock.h"
#include "src/base/random.h"
#include "src/membership/domain_watch.h"
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
               DomainWatch& watch,
               Messenger& messenger,
               FailureDetector& detector);

  // One round of a delegate. Returns whether a domain has become unreachable.
  bool DidStartRound();
  // The VM is of another domain and was heard.
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
  DomainWatch& watch_;
  Messenger& messenger_;
  FailureDetector& detector_;
  ProbeTracker probes_;
  // Domains still to be probed in this pass.
  std::vector<std::string> turn_;
  base::MonotonicTime next_probe_;
};

}  // namespace medlarspread::membership

#endif  // MEDLARSPREAD_MEMBERSHIP_DOMAIN_PROBER_H_
