// Clocks. Expiry and latency use a monotonic clock that also advances while the
// VM is suspended; the wall clock is used only for display and for the age of
// identifiers. Tests control both through ManualTime.

#ifndef MEDLARSPREAD_BASE_CLOCK_H_
#define MEDLARSPREAD_BASE_CLOCK_H_

#include <atomic>
#include <chrono>
#include <cstdint>
#include <memory>
#include <variant>

namespace medlarspread::base {

using Duration = std::chrono::microseconds;

// Microseconds since the VM booted, including time suspended.
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

// `duration` in fractional milliseconds, for reports.
inline double ToMilliseconds(Duration duration) {
  constexpr double kMicrosecondsPerMillisecond = 1000.0;
  return static_cast<double>(duration.count()) / kMicrosecondsPerMillisecond;
}

// Time that advances only when a test advances it. May be read from any thread.
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

// A cheaply copyable handle to the system clocks or to a ManualTime.
class Clock {
 public:
  // Uses the system clocks of the VM.
  Clock() = default;
  explicit Clock(std::shared_ptr<ManualTime> manual) : source_(manual) {}

  MonotonicTime Now() const;

  // Milliseconds since the Unix epoch; may jump in either direction.
  std::int64_t WallMilliseconds() const;

 private:
  struct SystemTime {};
  std::variant<SystemTime, std::shared_ptr<ManualTime>> source_;
};

}  // namespace medlarspread::base

#endif  // MEDLARSPREAD_BASE_CLOCK_H_
