// Measures the loop lag with one probe task at a time.

#include "src/base/loop_lag.h"

#include <algorithm>
#include <utility>

namespace medlarspread::base {

namespace {

// Older measurements are ignored: they no longer reflect the current load.
constexpr Duration kMaxMeasurementAge = Milliseconds(200);

}  // namespace

LoopLag::LoopLag(Clock clock, Post post)
    : clock_(std::move(clock)), post_(std::move(post)) {}

Duration LoopLag::Estimate() {
  const MonotonicTime now = clock_.Now();
  Duration lag{};
  if (now - state_->measured_at <= kMaxMeasurementAge) {
    lag = state_->last_lag;
  }
  if (state_->tick_due != MonotonicTime{}) {
    lag = std::max(lag, now - state_->tick_due);
  }
  if (state_->probe_started != MonotonicTime{}) {
    // The lag is at least the time that the pending probe has waited so far.
    return std::max(lag, now - state_->probe_started);
  }
  state_->probe_started = now;
  post_([state = state_, clock = clock_] {
    state->measured_at = clock.Now();
    state->last_lag = state->measured_at - state->probe_started;
    state->probe_started = {};
  });
  return lag;
}

void LoopLag::ExpectTick(MonotonicTime due) {
  const MonotonicTime now = clock_.Now();
  const bool is_late =
      state_->tick_due != MonotonicTime{} && now > state_->tick_due;
  if (is_late) {
    state_->last_lag = now - state_->tick_due;
    state_->measured_at = now;
  }
  state_->tick_due = due;
}

}  // namespace medlarspread::base
