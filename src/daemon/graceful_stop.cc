// Polls each step until it is complete or the shutdown's time is up.

#include "src/daemon/graceful_stop.h"

#include <chrono>
#include <thread>
#include <utility>

namespace medlarspread::daemon {

namespace {

constexpr auto kPollInterval = std::chrono::milliseconds(5);

}  // namespace

GracefulStop::GracefulStop(base::Clock clock,
                           base::Log log,
                           base::Duration bound)
    : clock_(std::move(clock)), log_(std::move(log)), bound_(bound) {}

bool GracefulStop::Run(const std::vector<StopStep>& steps,
                       const std::atomic<bool>& should_end_now) {
  const base::MonotonicTime end = clock_.Now() + bound_;
  bool is_clean = true;
  for (const StopStep& step : steps) {
    step.start();
    // After an early end the remaining steps are started but not waited for,
    // because they may still write some of their state. Each logs the
    // operations that it cut off.
    const bool should_wait = is_clean;
    is_clean =
        RunStep(step, should_wait ? end : clock_.Now(), should_end_now) &&
        is_clean;
  }
  return is_clean;
}

bool GracefulStop::RunStep(const StopStep& step,
                           base::MonotonicTime end,
                           const std::atomic<bool>& should_end_now) const {
  const base::MonotonicTime earliest = clock_.Now() + step.min_duration;
  while (clock_.Now() < earliest || step.pending() > 0) {
    if (should_end_now || clock_.Now() >= end) {
      log_.Write({.level = base::LogLevel::kError,
                  .step = base::Step::kStop,
                  .message = "stop ended early in step '" + step.name +
                             "': cut off " + std::to_string(step.pending()) +
                             " in flight"});
      return false;
    }
    std::this_thread::sleep_for(kPollInterval);
  }
  log_.Write({.level = base::LogLevel::kInfo,
              .step = base::Step::kStop,
              .message = "stop step '" + step.name + "' completed"});
  return true;
}

}  // namespace medlarspread::daemon
