// Which other failure domains can be reached. The delegates of a domain watch
// the others for it and tell the rest.
//
// A domain counts as unreachable once a probe into it has failed and nothing
// has been heard from it for a while since, by this daemon or by one that told
// it. That says nothing about its daemons: when it can be reached again, all
// its records hold as they were and are then brought up to date.

#ifndef MEDLARSPREAD_MEMBERSHIP_DOMAIN_WATCH_H_
#define MEDLARSPREAD_MEMBERSHIP_DOMAIN_WATCH_H_

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "src/base/clock.h"

namespace medlarspread::membership {

class DomainWatch {
 public:
  // `grace` is how long a domain may be silent after the first failed probe.
  explicit DomainWatch(base::Duration grace);

  // A daemon of the domain was heard at `heard_at`. Returns whether the domain
  // was unreachable until now.
  bool DidHear(const std::string& domain, base::MonotonicTime heard_at);
  // A probe into the domain that was sent at `sent_at` has failed.
  void DidFail(const std::string& domain,
               base::MonotonicTime sent_at,
               base::MonotonicTime now);

  // Moves domains whose grace is over to the unreachable ones. Returns whether
  // there was one.
  bool Judge(base::MonotonicTime now);

  // Takes over the verdict of a delegate. Returns whether it differs.
  bool SetUnreachable(const std::vector<std::string>& domains);

  // Gives all grace periods a new start, because this daemon was held up.
  void Restart(base::MonotonicTime now);

  bool IsReachable(const std::string& domain) const;
  // Domains with a failed probe since they were last heard.
  std::vector<std::string> Failing() const;
  std::vector<std::string> Unreachable() const;
  // How long ago the domain was heard; the longest duration if never.
  base::Duration AgeOf(const std::string& domain,
                       base::MonotonicTime now) const;

 private:
  const base::Duration grace_;
  std::map<std::string, base::MonotonicTime> heard_at_;
  // When the first probe failed, for domains not heard since.
  std::map<std::string, base::MonotonicTime> failing_since_;
  std::set<std::string> unreachable_;
};

}  // namespace medlarspread::membership

#endif  // MEDLARSPREAD_MEMBERSHIP_DOMAIN_WATCH_H_
