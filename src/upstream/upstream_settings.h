// How the daemon keeps track of leaves.

#ifndef MEDLARSPREAD_UPSTREAM_UPSTREAM_SETTINGS_H_
#define MEDLARSPREAD_UPSTREAM_UPSTREAM_SETTINGS_H_

#include "src/base/clock.h"

namespace medlarspread::upstream {

struct UpstreamSettings {
  // Between two reads of the platform's list, and how long one may take.
  base::Duration list_interval = base::Milliseconds(5'000);
  base::Duration list_timeout = base::Milliseconds(3'000);
  // Between two reads of one leaf's health, and how long one may take: the
  // longer interval while the leaf serves and its own replies tell of it, which
  // leaves only its holdings to health. Each interval is drawn anew from 75 to
  // 125 of 100, so that daemons and leaves don't fall into step.
  base::Duration health_interval = base::Milliseconds(1'000);
  base::Duration relaxed_health_interval = base::Milliseconds(2'500);
  base::Duration health_timeout = base::Milliseconds(800);
  int max_health_reads_in_flight = 64;
  // How often it is asked again whether this daemon reads the health of a
  // leaf that it doesn't read now.
  base::Duration role_check_interval = base::Milliseconds(5'000);
  // Changes are written to the blackboard at most this often; news that a leaf
  // drains at most as often as the second says.
  base::Duration publish_interval = base::Milliseconds(250);
  base::Duration urgent_publish_interval = base::Milliseconds(100);
  // Replies that bring no news of a leaf are taken note of at most this often.
  base::Duration observe_interval = base::Milliseconds(500);

  // Health that was asked less than this after a reply of the leaf can't
  // overrule the state in that reply: health lags.
  base::Duration reply_hold = base::Milliseconds(1'000);
  // The same for the holdings of a reply, which change seldom.
  base::Duration holdings_hold = base::Milliseconds(10'000);
  // A draining leaf gets no work for this long after it was last said to be
  // draining, whatever else says that it serves. Should exceed the lag of
  // health, and must exceed the span within which membership takes two words
  // of one leaf for the same news (5 s). Doubles, up to the maximum, each time
  // the return proved wrong.
  base::Duration draining_hold = base::Milliseconds(10'000);
  base::Duration max_draining_hold = base::Milliseconds(160'000);
  // Where this daemon doesn't read the leaf's health itself, news that it
  // drains or can't be reached lapses after this time.
  base::Duration lapse_time = base::Milliseconds(60'000);
  // While a leaf goes on draining, peers are told again at this interval. Must
  // be less than lapse_time.
  base::Duration announce_interval = base::Milliseconds(30'000);

  // Refused or lost connections in a row after which a leaf is unreachable.
  int max_connection_failures = 3;
  // Requests without a usable reply in a row, over at least the given time,
  // after which a leaf is unreachable.
  int max_silent_failures = 5;
  base::Duration silent_time = base::Milliseconds(2'000);
  // Health must be good this long after a leaf was found unreachable before
  // it comes back. Doubles, up to the maximum, if it fails again before it
  // answered anything.
  base::Duration unreachable_hold = base::Milliseconds(1'000);
  base::Duration max_unreachable_hold = base::Milliseconds(32'000);
  // A cold leaf counts as serving on the word of health alone only after this.
  base::Duration cold_hold = base::Milliseconds(2'000);

  // A leaf missing from the list is kept while it was listed, or showed life,
  // within the first time, but no longer than the second after it was listed.
  base::Duration vanished_hold = base::Milliseconds(30'000);
  base::Duration max_vanished_time = base::Milliseconds(600'000);
};

}  // namespace medlarspread::upstream

#endif  // MEDLARSPREAD_UPSTREAM_UPSTREAM_SETTINGS_H_
