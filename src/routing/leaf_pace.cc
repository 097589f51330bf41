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
// It takes seven late moments in a row to narrow that to one. A pause of a leaf
// makes three or four.
constexpr double kFirstWindow = 16.0;
// A leaf that answers nothing in time is still tried now and then, this often
// at the least: it may be at its speed again.
constexpr double kNarrowest = 0.05;
constexpr base::Duration kLongestGap = base::Milliseconds(4'000);

}  // namespace

bool LeafPace::MaySend(std::size_t in_flight, base::MonotonicTime now) const {
  if (!window_) {
    return true;
  }
  if (*window_ >= 1.0) {
    return static_cast<double>(in_flight + 1) <= *window_;
  }
  const base::Duration gap(static_cast<std::int64_t>(
      static_cast<double>(last_time_.count()) / *window_));
  return in_flight == 0 && now - sent_ >= std::min(gap, kLongestGap);
}

void LeafPace::DidEnd(bool is_in_time,
                      base::Duration time,
                      std::size_t in_flight,
                      base::MonotonicTime now) {
  last_time_ = time;
  if (is_in_time) {
    DidEndInTime();
  } else if (now - shrunk_ >= kShrinkingPause) {
    const double before = window_.value_or(
        std::max(kFirstWindow, static_cast<double>(in_flight + 1)));
    window_ = std::max(kNarrowest, before * kShrinking);
    shrunk_ = now;
  }
}

void LeafPace::DidEndInTime() {
  if (!window_) {
    return;
  }
  *window_ += kGrowth;
  if (*window_ >= kFirstWindow) {
    window_.reset();
  }
}

}  // namespace medlarspread::routing
