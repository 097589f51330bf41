// Settings of the burn report. The durations limit how many counts are lost
// when a VM crashes, and how many calls the store receives.

#ifndef MEDLARSPREAD_BURN_BURN_SETTINGS_H_
#define MEDLARSPREAD_BURN_BURN_SETTINGS_H_

#include <cstdint>
#include <string>

#include "src/base/clock.h"

namespace medlarspread::burn {

struct BurnSettings {
  std::string vm_name;
  std::int64_t incarnation = 0;
  std::string failure_domain;

  // How often the per-thread counts are summed and the blackboard is updated.
  base::Duration collect_interval = base::Milliseconds(1'000);
  // Mean time between two writes of this VM's counts, with a jitter of a
  // quarter. A VM that crashes loses the counts of at most 1.25 times this
  // interval.
  base::Duration flush_interval = base::Milliseconds(60'000);
  // Maximum number of writes per flush, so that the fleet does not overload the
  // store after an outage.
  int writes_per_flush = 2;
  // The longest time between the arrival and the recording of a request. A
  // bucket is closed no earlier than this after its end.
  base::Duration longest_request = base::Milliseconds(30'000);
  // The open segments of an incarnation that was marked as gone are closed by
  // another VM after this delay.
  base::Duration seal_delay = base::Milliseconds(600'000);
  // The same for an incarnation without such a mark, measured from its last
  // write.
  base::Duration seal_overdue_delay = base::Milliseconds(7'200'000);
  // How often this VM checks whether it has segments to roll up.
  base::Duration roll_up_interval = base::Milliseconds(300'000);
  base::Duration store_timeout = base::Milliseconds(2'000);
  // Maximum number of ten-minute buckets kept in memory during a store outage.
  // When there are more, the oldest are dropped and reported as unaccounted.
  int maximum_buckets = 288;
};

}  // namespace medlarspread::burn

#endif  // MEDLARSPREAD_BURN_BURN_SETTINGS_H_
