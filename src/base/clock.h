// Time. Expiry and latency use a monotonic clock that also counts while the VM
// is suspended; the wall clock serves only for display and for the age of
// identifiers. Tests drive both by hand through ManualTime.

#ifndef MEDLARSPREAD_BASE_CLOCK_H_
#define MEDLARSPREAD_BASE_CLOCK_H_

#include <atomic>
#include <chrono>
#include <cstdint>
#include <memory>
#include <variant>

namespace medlarspread::base {

using Duration = std::chrono::microseconds;

// Microseconds since the VM started, suspension included.
struct MonotonicTime {
  std::int64_t microseconds = 0;

  // NOTE: clang-tidy 14 takes the 0 of `a < b`, which is rewritten as
  // `(a <=> b) < 0`, for a null pointer.
  // NOLINTNEXTLINE(modernize-use-nullptr)
  friend auto operator<=>(const MonotonicTime&, const MonotonicTime&) = default;
};

inline MonotonicTime operator+(MonotonicTime time, Duration duration) {
  return {time.microseconds + duration.count()};
}
inline MonotonicTime operator-(MonotonicTime time, Duration duration) {
  return {time.microseconds - duration.count()};
}
inline Duration operator-(MonotonicTime later, MonotonicTime earlier) {
  return Duration(later.microseconds - earlier.microseconds);
}

constexpr Duration Milliseconds(std::int64_t count) {
  return std::chrono::milliseconds(count);
}

// Milliseconds of `duration` as a number with a fraction, for reports.
inline double ToMilliseconds(Duration duration) {
  constexpr double kMicrosecondsPerMillisecond = 1000.0;
  return static_cast<double>(duration.count()) / kMicrosecondsPerMillisecond;
}

// Time that moves only when a test moves it. Safe to read from any thread.
class ManualTime {
 public:
  ManualTime(std::int64_t monotonic_microseconds,
             std::int64_t wall_milliseconds)
      : monotonic_microseconds_(monotonic_microseconds),
        wall_milliseconds_(wall_milliseconds) {}

  void Advance(Duration duration);
  std::int64_t monotonic_microseconds() const {
    return monotonic_microseconds_.load();
  }
  std::int64_t wall_milliseconds() const;

 private:
  std::atomic<std::int64_t> monotonic_microseconds_;
  // The wall time at which the monotonic time was its initial value.
  const std::int64_t wall_milliseconds_;
  const std::int64_t initial_microseconds_ = monotonic_microseconds_.load();
};

// A cheap copyable handle to the time of this process.
class Clock {
 public:
  // The real clocks of the VM.
  Clock() = default;
  explicit Clock(std::shared_ptr<ManualTime> manual) : source_(manual) {}

  MonotonicTime Now() const;

  // Milliseconds since 1970 by the wall clock; may jump in either direction.
  std::int64_t WallMilliseconds() const;

 private:
  struct SystemTime {};
  std::variant<SystemTime, std::shared_ptr<ManualTime>> source_;
};

}  // namespace medlarspread::base

#endif  // MEDLARSPREAD_BASE_CLOCK_H_
