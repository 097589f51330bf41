// The settings of the burn report. Durations bound what a lost VM can take with
// it and how many calls the store gets.

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

  // How often the threads' counts are added up and the blackboard is written.
  base::Duration collect_interval = base::Milliseconds(1'000);
  // Mean time between two writes of this VM's counts, jittered by a quarter.
  // A VM that dies loses its counts of at most this time and a quarter more.
  base::Duration flush_interval = base::Milliseconds(60'000);
  // Writes at one flush at most, so that the fleet does not rush the store
  // after an outage.
  int writes_per_flush = 2;
  // The longest time between asking and recording a request. A bucket is
  // closed no earlier than this after its end.
  base::Duration longest_request = base::Milliseconds(30'000);
  // An incarnation that was seen to be gone this long ago has its open segments
  // closed by another VM.
  base::Duration seal_delay = base::Milliseconds(600'000);
  // The same for one that nobody has seen to be gone, after its last write.
  base::Duration seal_overdue_delay = base::Milliseconds(7'200'000);
  // How often this VM looks whether it has something to roll up.
  base::Duration roll_up_interval = base::Milliseconds(300'000);
  base::Duration store_timeout = base::Milliseconds(2'000);
  // Buckets of ten minutes kept in memory through an outage of the store. The
  // oldest beyond that are given up and reported as unaccounted.
  int maximum_buckets = 288;
};

}  // namespace medlarspread::burn

#endif  // MEDLARSPREAD_BURN_BURN_SETTINGS_H_
