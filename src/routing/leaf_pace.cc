// Growth by addition, shrinking by multiplication.

#include "src/routing/leaf_pace.h"

#include <algorithm>

namespace medlarspread::routing {

namespace {

// A leaf at which one request in four is late although it is alone there keeps
// a window of about one.
constexpr double kGrowth = 0.1;
constexpr double kShrinking = 0.7;
// Late replies come in groups, since they waited in one queue or for one pause.
constexpr base::Duration kShrinkingPause = base::Milliseconds(50);
// A leaf that answers nothing in time is still tried now and then.
constexpr double kNarrowest = 0.05;

}  // namespace

bool LeafPace::MaySend(std::size_t in_flight, base::MonotonicTime now) const {
  if (window_ >= 1.0) {
    return static_cast<double>(in_flight + 1) <= window_;
  }
  const base::Duration gap(static_cast<std::int64_t>(
      static_cast<double>(last_time_.count()) / window_));
  return in_flight == 0 && now - sent_ >= gap;
}

void LeafPace::DidEnd(bool is_in_time,
                      base::Duration time,
                      base::MonotonicTime now) {
  last_time_ = time;
  if (is_in_time) {
    window_ = std::min(kWidest, window_ + kGrowth);
    return;
  }
  if (now - shrunk_ < kShrinkingPause) {
    return;
  }
  shrunk_ = now;
  window_ = std::max(kNarrowest, window_ * kShrinking);
}

}  // namespace medlarspread::routing
