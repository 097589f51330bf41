// What membership is told at the start: who this daemon is, and how often it
// talks to others. The intervals are worked out in
// docs/design/09-membership.md.

#ifndef MEDLARSPREAD_MEMBERSHIP_MEMBERSHIP_SETTINGS_H_
#define MEDLARSPREAD_MEMBERSHIP_MEMBERSHIP_SETTINGS_H_

#include <cstddef>
#include <cstdint>
#include <string>

#include "src/base/clock.h"

namespace medlarspread::membership {

struct MembershipSettings {
  std::string name;
  // "ip:port" of this daemon's peer link, as others reach it.
  std::string address;
  std::string region;
  std::string failure_domain;
  // Grows with each start of this daemon's process.
  std::int64_t incarnation = 0;

  // One round of probes.
  base::Duration round = base::Milliseconds(200);
  // Daemons of the own failure domain that are probed in each round.
  std::size_t probes_per_round = 1;
  // A probe without an answer for so long raises a suspicion; a suspicion that
  // nobody contradicts for so long is the verdict.
  base::Duration answer_timeout = base::Milliseconds(450);
  base::Duration suspicion_timeout = base::Milliseconds(450);
  // Others who are asked about a suspected daemon.
  std::size_t helpers = 3;

  // Daemons per failure domain that exchange news with other domains.
  std::size_t delegates = 3;
  // How often a delegate probes one other domain, in turn.
  base::Duration domain_interval = base::Milliseconds(500);
  // How long another domain may be silent after the first failed probe.
  base::Duration domain_grace = base::Milliseconds(2000);
  // How often summaries of all domains are compared with a peer.
  base::Duration summary_interval = base::Milliseconds(1000);
  // How often one absent daemon is tried again.
  base::Duration absent_interval = base::Milliseconds(1000);

  // How often the platform's list is read by those who read it, and how long a
  // read may take.
  base::Duration list_interval = base::Milliseconds(2000);
  base::Duration list_timeout = base::Milliseconds(1500);

  // A round that comes later than this means that the VM was frozen.
  base::Duration wake_gap = base::Milliseconds(1000);
  // How long others are asked for their table before this daemon goes on with
  // what it knows.
  base::Duration settle_timeout = base::Milliseconds(3000);
  // How long a daemon that is gone is remembered, so that an old record does
  // not bring it back.
  base::Duration gone_retention = base::Milliseconds(600'000);
  // How long news of a draining upstream rides on heartbeats.
  base::Duration draining_lifetime = base::Milliseconds(30'000);
};

}  // namespace medlarspread::membership

#endif  // MEDLARSPREAD_MEMBERSHIP_MEMBERSHIP_SETTINGS_H_
