// Implements base::Clock with the system clocks and with manual time.

#include "src/base/clock.h"

#include <ctime>

namespace medlarspread::base {

namespace {

constexpr std::int64_t kMicrosecondsPerSecond = 1'000'000;
constexpr std::int64_t kNanosecondsPerMicrosecond = 1'000;
constexpr std::int64_t kMicrosecondsPerMillisecond = 1'000;

std::int64_t ReadMicroseconds(clockid_t clock) {
  timespec time{};
  clock_gettime(clock, &time);
  return time.tv_sec * kMicrosecondsPerSecond +
         time.tv_nsec / kNanosecondsPerMicrosecond;
}

}  // namespace

void ManualTime::Advance(Duration duration) {
  monotonic_microseconds_ += duration.count();
}

std::int64_t ManualTime::wall_milliseconds() const {
  return wall_milliseconds_ +
         (monotonic_microseconds_.load() - initial_microseconds_) /
             kMicrosecondsPerMillisecond;
}

MonotonicTime Clock::Now() const {
  if (const auto* manual = std::get_if<std::shared_ptr<ManualTime>>(&source_)) {
    return {(*manual)->monotonic_microseconds()};
  }
  return {ReadMicroseconds(CLOCK_BOOTTIME)};
}

std::int64_t Clock::WallMilliseconds() const {
  if (const auto* manual = std::get_if<std::shared_ptr<ManualTime>>(&source_)) {
    return (*manual)->wall_milliseconds();
  }
  return ReadMicroseconds(CLOCK_REALTIME) / kMicrosecondsPerMillisecond;
}

}  // namespace medlarspread::base
