// Configuration of the tracking of leaves.

#ifndef MEDLARSPREAD_UPSTREAM_UPSTREAM_SETTINGS_H_
#define MEDLARSPREAD_UPSTREAM_UPSTREAM_SETTINGS_H_

#include "src/base/clock.h"

namespace medlarspread::upstream {

struct UpstreamSettings {
  // Time between two reads of the platform's list, and the timeout of a read.
  base::Duration list_interval = base::Milliseconds(5'000);
  base::Duration list_timeout = base::Milliseconds(3'000);
  // Time between two health reads of one leaf, and the timeout of a read. The
  // longer interval applies while the leaf is serving and its own replies show
  // its state, so that health only adds its holdings. Each interval varies
  // randomly between 75% and 125%, so that daemons and leaves don't
  // synchronize.
  base::Duration health_interval = base::Milliseconds(1'000);
  base::Duration relaxed_health_interval = base::Milliseconds(2'500);
  base::Duration health_timeout = base::Milliseconds(800);
  int max_health_reads_in_flight = 64;
  // How often this daemon checks whether it must read the health of a leaf that
  // it doesn't read now.
  base::Duration role_check_interval = base::Milliseconds(5'000);
  // Minimum time between two writes to the blackboard. The second applies when
  // a leaf is found to be draining.
  base::Duration publish_interval = base::Milliseconds(250);
  base::Duration urgent_publish_interval = base::Milliseconds(100);
  // Minimum time between two replies of a leaf that are processed although they
  // contain nothing new.
  base::Duration observe_interval = base::Milliseconds(500);

  // Health requested less than this time after a reply of the leaf can't
  // override the state in that reply, because health lags.
  base::Duration reply_hold = base::Milliseconds(1'000);
  // The same for the holdings of a reply, which change rarely.
  base::Duration holdings_hold = base::Milliseconds(10'000);
  // A draining leaf gets no requests for this time after the last report that
  // it is draining, even if other sources say that it is serving. Should exceed
  // the lag of health, and must exceed the time within which membership treats
  // two notices about one leaf as copies (5 s). Doubles, up to the maximum,
  // each time the leaf was returned to service too early.
  base::Duration draining_hold = base::Milliseconds(10'000);
  base::Duration max_draining_hold = base::Milliseconds(160'000);
  // If this daemon doesn't read the leaf's health itself, the draining,
  // unreachable and cold states are cleared after this time.
  base::Duration unread_state_lifetime = base::Milliseconds(60'000);
  // How often peers are notified again while a leaf keeps draining. Must be
  // less than unread_state_lifetime.
  base::Duration announce_interval = base::Milliseconds(30'000);

  // Number of successive refused or lost connections after which a leaf is
  // unreachable.
  int max_connection_failures = 3;
  // A leaf is unreachable after this many successive requests without a usable
  // reply, if they span at least the given time.
  int max_no_reply_failures = 5;
  base::Duration min_no_reply_time = base::Milliseconds(2'000);
  // Health must be good this long after a leaf was found unreachable before it
  // is used again. Doubles, up to the maximum, if the leaf fails again before
  // it has answered a request.
  base::Duration unreachable_hold = base::Milliseconds(1'000);
  base::Duration max_unreachable_hold = base::Milliseconds(32'000);
  // A cold leaf counts as serving based on health alone only after this time.
  base::Duration cold_hold = base::Milliseconds(2'000);

  // A leaf missing from the list is kept if it was listed, or showed activity,
  // within the first time, but no longer than the second time after it was last
  // listed.
  base::Duration vanished_hold = base::Milliseconds(30'000);
  base::Duration max_vanished_time = base::Milliseconds(600'000);
};

}  // namespace medlarspread::upstream

#endif  // MEDLARSPREAD_UPSTREAM_UPSTREAM_SETTINGS_H_
