// Settings of the targets controller.

#ifndef MEDLARSPREAD_TARGETS_TARGETS_SETTINGS_H_
#define MEDLARSPREAD_TARGETS_TARGETS_SETTINGS_H_

#include <string>

#include "src/base/clock.h"

namespace medlarspread::targets {

struct TargetsSettings {
  // The name and failure domain of this VM.
  std::string self;
  std::string failure_domain;

  // The number of daemons of a failure domain that read and watch the store.
  int readers_per_failure_domain = 2;

  // The timeout of one call of the store; a watch may take `watch_wait` longer.
  base::Duration store_timeout = base::Milliseconds(1000);
  base::Duration watch_wait = base::Milliseconds(15000);
  // The least interval between two calls of one reader, even if each is
  // answered at once.
  base::Duration read_interval = base::Milliseconds(100);
  // The backoff after a failed call: doubled with each further failure, with
  // jitter.
  base::Duration min_backoff = base::Milliseconds(200);
  base::Duration max_backoff = base::Milliseconds(5000);
  // How often a daemon that is not a reader checks whether it has become one.
  base::Duration role_interval = base::Milliseconds(1000);
  // After a restore, the targets are written back to the store after a random
  // part of this time.
  base::Duration repair_delay = base::Milliseconds(2000);

  // How long to wait for a peer's reply before another peer is asked.
  base::Duration request_timeout = base::Milliseconds(1000);
  // How long a starting daemon waits for the heartbeats of its peers once
  // membership has settled, because the store may have been restored to targets
  // older than theirs. Invariant: several heartbeat intervals.
  base::Duration peer_wait = base::Milliseconds(1000);

  // The time within which a change is accepted, refused or reported as unknown.
  base::Duration change_timeout = base::Milliseconds(5000);
  base::Duration change_retry = base::Milliseconds(100);
  base::Duration retry_after = base::Milliseconds(1000);
  // The most changes that this daemon processes at once; further ones are
  // refused.
  int max_changes = 16;
};

}  // namespace medlarspread::targets

#endif  // MEDLARSPREAD_TARGETS_TARGETS_SETTINGS_H_
