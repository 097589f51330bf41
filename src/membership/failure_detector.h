// Finds out which daemons of the own failure domain are gone.
//
// 1. Each round probes one. Every other time that is the daemon that follows in
//    the order of names, so that each is probed in time by one other; the rest
//    go to all in a shuffled order, so that the loss of neighbours is noticed
//    too and news spreads fast.
// 2. A probe without an answer raises a suspicion: the daemon is probed again
//    and some others are asked to probe it as well. They do so with the
//    suspicion attached, which the daemon contradicts in its answer, and they
//    pass the contradiction on.
// 3. A suspicion that nobody contradicts in time becomes the verdict, which is
//    spread at once, also to the daemon itself: if it lives after all, it
//    contradicts that too.
//
// A daemon of another domain can be asked about in the same way; its own domain
// gives the verdict.

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

  // Probes the next `count` daemons: by turns the one that follows this daemon
  // in the order of names, and one at random.
  void ProbeNext(std::size_t count);
  // Sends one probe without following it up, to a daemon that may be gone.
  void TryAbsent(const std::string& name);

  // Any message came from the daemon itself.
  void DidHear(const std::string& name);
  // The daemon has contradicted a doubt, as somebody passed on.
  void DidConfirm(const std::string& name);
  // `asker` wants to know whether anybody has heard the VM of the record.
  void DidAsk(const Record& suspected, const std::string& asker);

  // Probes the daemon with the doubt attached and asks `helpers` to do so too.
  void AskAbout(const std::string& name, std::vector<std::string> helpers);

  // Acts on probes that are overdue. Returns whether a daemon was found gone.
  bool Judge();

  // This daemon was held up for `delay`.
  void Postpone(base::Duration delay);
  // Drops all probes and suspicions.
  void Clear();

 private:
  // Daemons that asked about one VM, until when they want to know.
  struct Askers {
    std::set<std::string> names;
    base::MonotonicTime expires;
  };

  void Probe(const std::string& name);
  std::string Successor() const;
  std::string NextInTurn();
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
  // Those still to be probed in this pass over the domain.
  std::vector<std::string> turn_;
  std::map<std::string, Askers> askers_;
};

}  // namespace medlarspread::membership

#endif  // MEDLARSPREAD_MEMBERSHIP_FAILURE_DETECTOR_H_
