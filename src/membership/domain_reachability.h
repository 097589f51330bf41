// Tracks which other failure domains are reachable. The delegates of a domain
// determine this and tell the other daemons of their domain.
//
// A domain counts as unreachable once a probe into it has failed and neither
// this daemon nor one that reported to it has heard from the domain for the
// grace period that follows. This says nothing about the domain's daemons:
// their records are kept unchanged and are updated once the domain is reachable
// again.

#ifndef MEDLARSPREAD_MEMBERSHIP_DOMAIN_REACHABILITY_H_
#define MEDLARSPREAD_MEMBERSHIP_DOMAIN_REACHABILITY_H_

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "src/base/clock.h"

namespace medlarspread::membership {

class DomainReachability {
 public:
  // `grace` is how long a domain may be silent after the first failed probe.
  explicit DomainReachability(base::Duration grace);

  // A message from the domain arrived at `heard_at`. Returns whether the domain
  // was unreachable until now.
  bool DidHear(const std::string& domain, base::MonotonicTime heard_at);
  // A probe into the domain that was sent at `sent_at` has failed.
  void DidFail(const std::string& domain,
               base::MonotonicTime sent_at,
               base::MonotonicTime now);

  // Marks domains whose grace period is over as unreachable. Returns whether
  // there were any.
  bool MarkUnreachable(base::MonotonicTime now);

  // Replaces the set of unreachable domains by that of a delegate. Returns
  // whether it changed.
  bool SetUnreachable(const std::vector<std::string>& domains);

  // Restarts all grace periods, because this daemon itself was delayed.
  void Restart(base::MonotonicTime now);

  bool IsReachable(const std::string& domain) const;
  // Domains with a failed probe since the last message from them.
  std::vector<std::string> Failing() const;
  std::vector<std::string> Unreachable() const;
  // How long ago the domain was last heard from; the maximum duration if never.
  base::Duration AgeOf(const std::string& domain,
                       base::MonotonicTime now) const;

 private:
  const base::Duration grace_;
  std::map<std::string, base::MonotonicTime> heard_at_;
  // When the first probe failed, for domains not heard from since.
  std::map<std::string, base::MonotonicTime> failing_since_;
  std::set<std::string> unreachable_;
};

}  // namespace medlarspread::membership

#endif  // MEDLARSPREAD_MEMBERSHIP_DOMAIN_REACHABILITY_H_
