// Settings of claims that may differ between daemons without risk: they trade
// latency against the number of store calls, and cannot lead to a second grant.

#ifndef MEDLARSPREAD_CLAIMS_CLAIM_SETTINGS_H_
#define MEDLARSPREAD_CLAIMS_CLAIM_SETTINGS_H_

#include <cstddef>

#include "src/base/clock.h"

namespace medlarspread::claims {

struct ClaimSettings {
  // The minimum time between two swaps of one key. Claims that arrive meanwhile
  // are committed together.
  base::Duration group_interval = base::Milliseconds(25);
  // The same for keys of slices that ended some time ago. There are many more
  // of these, so each has to be written less often. Never below group_interval.
  base::Duration late_group_interval = base::Milliseconds(100);
  // Timeout of one call to the store.
  base::Duration store_timeout = base::Milliseconds(250);
  // Pause after the store refused a call; doubles with each consecutive
  // refusal.
  base::Duration store_backoff = base::Milliseconds(10);
  // The number of failed calls to the store after which a claim is given up.
  int store_attempts = 3;
  // How long the requesting daemon waits for the daemon that groups the claims
  // of a key. Never below 1.5 times late_group_interval.
  base::Duration forward_timeout = base::Milliseconds(150);
  // The number of daemons that are asked before the requesting daemon commits
  // the claim itself.
  int forwards = 2;
  // The number of most recently used keys whose claims are kept in memory.
  std::size_t cached_buckets = 64;
  // The number of claimed identifiers that are kept in memory besides those.
  std::size_t remembered_claims = 20'000;
  // The maximum number of open claims, this daemon's own and those of others.
  std::size_t open_claims = 10'000;
  // The retry delay returned to refused callers.
  base::Duration retry_after = base::Milliseconds(1000);
};

}  // namespace medlarspread::claims

#endif  // MEDLARSPREAD_CLAIMS_CLAIM_SETTINGS_H_
