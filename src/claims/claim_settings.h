// Settings of claims that may differ between daemons without risk: they trade
// time against calls to the store, never whether a second grant is possible.

#ifndef MEDLARSPREAD_CLAIMS_CLAIM_SETTINGS_H_
#define MEDLARSPREAD_CLAIMS_CLAIM_SETTINGS_H_

#include <cstddef>

#include "src/base/clock.h"

namespace medlarspread::claims {

struct ClaimSettings {
  // The least time between two swaps of one key. Claims that arrive meanwhile
  // are committed together.
  base::Duration group_interval = base::Milliseconds(25);
  // The same for keys of slices that ended some time ago. There are many more
  // of them, so each has to be written less often. Never below
  // group_interval.
  base::Duration late_group_interval = base::Milliseconds(100);
  // Bound of one call to the store.
  base::Duration store_timeout = base::Milliseconds(250);
  // Pause after the store refused a call; doubles with each refusal in a row.
  base::Duration store_backoff = base::Milliseconds(10);
  // Failed calls to the store after which a claim is given up.
  int store_attempts = 3;
  // How long the asker waits for the daemon that groups the claims of a key.
  // Never below one and a half of late_group_interval.
  base::Duration forward_timeout = base::Milliseconds(150);
  // Daemons that are asked before the asker commits the claim itself.
  int forwards = 2;
  // Keys whose claims are kept in memory, the latest used ones.
  std::size_t cached_buckets = 64;
  // Identifiers known to be claimed that are kept in memory beside those.
  std::size_t remembered_claims = 20'000;
  // Claims that may wait here at once, this daemon's own and others'.
  std::size_t open_claims = 10'000;
  // What a refused caller is told to wait.
  base::Duration retry_after = base::Milliseconds(1000);
};

}  // namespace medlarspread::claims

#endif  // MEDLARSPREAD_CLAIMS_CLAIM_SETTINGS_H_
