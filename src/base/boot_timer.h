// A timer on the clock that deadlines and ages use, which also advances while
// the VM is suspended.
//
// A timer that ignores a suspension fires late by the length of the suspension:
// a request that had 0.9 s left when its VM was suspended for 5 s would be
// answered 0.9 s after the VM resumes, when the caller has long given up, and
// state that should have expired would still be used until then. This timer
// fires at most kMaxTimerWait after the VM resumes.

#ifndef MEDLARSPREAD_BASE_BOOT_TIMER_H_
#define MEDLARSPREAD_BASE_BOOT_TIMER_H_

#include <algorithm>
#include <chrono>

#include <boost/asio/basic_waitable_timer.hpp>

#include "src/base/clock.h"

namespace medlarspread::base {

// Clock::Now() with the interface of a standard library clock.
struct BootClock {
  using duration = Duration;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<BootClock>;
  // NOLINTNEXTLINE(readability-identifier-naming): std::chrono's name.
  static constexpr bool is_steady = true;

  static time_point now() {
    return time_point(duration(Clock().Now().microseconds));
  }
};

// The kernel's timers don't count a suspension either, so no wait is longer
// than this before the clock is read again. The four wake-ups a second cost an
// idle thread some 0.01% of a core.
constexpr Duration kMaxTimerWait = Milliseconds(250);

// Wait traits for basic_waitable_timer that limit each wait to kMaxTimerWait.
template <typename AnyClock>
struct CappedWaitTraits {
  static typename AnyClock::duration to_wait_duration(
      const typename AnyClock::duration& until_due) {
    return std::min<typename AnyClock::duration>(until_due, kMaxTimerWait);
  }
  static typename AnyClock::duration to_wait_duration(
      const typename AnyClock::time_point& due) {
    return to_wait_duration(due - AnyClock::now());
  }
};

template <typename AnyClock>
using TimerOf =
    boost::asio::basic_waitable_timer<AnyClock, CappedWaitTraits<AnyClock>>;

using BootTimer = TimerOf<BootClock>;

}  // namespace medlarspread::base

#endif  // MEDLARSPREAD_BASE_BOOT_TIMER_H_
