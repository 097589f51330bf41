// Configuration of membership: the identity of this daemon and the intervals of
// the protocol. docs/design/09-membership.md derives the intervals.

#ifndef MEDLARSPREAD_MEMBERSHIP_MEMBERSHIP_SETTINGS_H_
#define MEDLARSPREAD_MEMBERSHIP_MEMBERSHIP_SETTINGS_H_

#include <cstddef>
#include <cstdint>
#include <string>

#include "src/base/clock.h"

namespace medlarspread::membership {

struct MembershipSettings {
  std::string name;
  // "ip:port" at which others reach this daemon's peer link.
  std::string address;
  std::string region;
  std::string failure_domain;
  // Increases with each start of this daemon's process.
  std::int64_t incarnation = 0;

  // Time between two rounds of probes.
  base::Duration round = base::Milliseconds(200);
  // Number of daemons of the same failure domain that are probed in each round.
  std::size_t probes_per_round = 1;
  // A probe that is unanswered for `answer_timeout` raises a suspicion. A
  // suspicion that is not refuted for `suspicion_timeout` means that the daemon
  // is gone.
  base::Duration answer_timeout = base::Milliseconds(450);
  base::Duration suspicion_timeout = base::Milliseconds(450);
  // Number of other daemons that are asked to probe a suspected one.
  std::size_t helpers = 3;

  // Number of daemons per failure domain that exchange updates with other
  // domains.
  std::size_t delegates = 3;
  // How often a delegate probes one other domain, in turn.
  base::Duration domain_interval = base::Milliseconds(500);
  // How long another domain may be silent after the first failed probe.
  base::Duration domain_grace = base::Milliseconds(2000);
  // How often summaries of all domains are compared with a peer.
  base::Duration summary_interval = base::Milliseconds(1000);
  // How often one absent daemon is probed.
  base::Duration absent_interval = base::Milliseconds(1000);

  // How often the platform's VM list is read, and the timeout of a read.
  base::Duration list_interval = base::Milliseconds(2000);
  base::Duration list_timeout = base::Milliseconds(1500);

  // A longer time between two rounds means that the VM was frozen.
  base::Duration freeze_threshold = base::Milliseconds(1000);
  // How long other daemons are asked for their table before this one continues
  // with what it knows.
  base::Duration settle_timeout = base::Milliseconds(3000);
  // How long a gone daemon is remembered, so that an old record does not bring
  // it back.
  base::Duration gone_retention = base::Milliseconds(600'000);
  // How long a notice of a draining upstream is piggybacked on heartbeats.
  base::Duration draining_lifetime = base::Milliseconds(30'000);
};

}  // namespace medlarspread::membership

#endif  // MEDLARSPREAD_MEMBERSHIP_MEMBERSHIP_SETTINGS_H_
