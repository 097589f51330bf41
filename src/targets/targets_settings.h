// Settings of the targets' controller.

#ifndef MEDLARSPREAD_TARGETS_TARGETS_SETTINGS_H_
#define MEDLARSPREAD_TARGETS_TARGETS_SETTINGS_H_

#include <string>

#include "src/base/clock.h"

namespace medlarspread::targets {

struct TargetsSettings {
  // The name and failure domain of this VM.
  std::string self;
  std::string failure_domain;

  // Daemons of a failure domain that read and watch the store.
  int readers_per_failure_domain = 2;

  // One call of the store; a watch waits `watch_wait` beyond it.
  base::Duration store_timeout = base::Milliseconds(1000);
  base::Duration watch_wait = base::Milliseconds(15000);
  // Between two calls of one reader at least, also when each answers at once.
  base::Duration read_interval = base::Milliseconds(100);
  // After a failed call: doubled with each further failure, with jitter.
  base::Duration min_backoff = base::Milliseconds(200);
  base::Duration max_backoff = base::Milliseconds(5000);
  // How often a daemon that is no reader looks whether it has become one.
  base::Duration role_interval = base::Milliseconds(1000);
  // A restored store is written back after a random part of this.
  base::Duration repair_delay = base::Milliseconds(2000);

  // How long a peer that was asked for targets may take before another is.
  base::Duration request_timeout = base::Milliseconds(1000);
  // Once membership has settled, a starting daemon waits so long for the
  // heartbeats of its peers, because the store may have been restored to older
  // targets than theirs. Invariant: several intervals of heartbeats.
  base::Duration peer_wait = base::Milliseconds(1000);

  // Within it a change is accepted, refused or reported as unknown.
  base::Duration change_timeout = base::Milliseconds(5000);
  base::Duration change_retry = base::Milliseconds(100);
  base::Duration retry_after = base::Milliseconds(1000);
  // Changes that this daemon works on at once; more are refused.
  int max_changes = 16;
};

}  // namespace medlarspread::targets

#endif  // MEDLARSPREAD_TARGETS_TARGETS_SETTINGS_H_
