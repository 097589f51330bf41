// Additive increase and multiplicative decrease of the window.

#include "src/routing/leaf_pace.h"

#include <algorithm>

namespace medlarspread::routing {

namespace {

// With these two, a leaf that is late for one in four requests even when it
// serves only one at a time settles at a window of about one.
constexpr double kGrowth = 0.1;
constexpr double kShrinking = 0.7;
// Late replies come in bursts, because they waited in the same queue or for the
// same pause of the leaf. Each burst reduces the window only once.
constexpr base::Duration kShrinkingPause = base::Milliseconds(50);
// Seven reductions in a row take this window to about one request. A single
// pause of a leaf causes three or four.
constexpr double kFirstWindow = 16.0;
// A leaf that answers nothing in time is still probed at least this often,
// because it may have recovered.
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
