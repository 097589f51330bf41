// Additive increase and multiplicative decrease of the window.

#include "src/routing/leaf_pace.h"

#include <algorithm>

namespace medlarspread::routing {

namespace {

// With these two, a leaf that is late for one in four requests even when it
// serves only one at a time settles at a window of about one.
constexpr double kIncrease = 0.1;
constexpr double kDecreaseFactor = 0.7;
// Late replies come in bursts, because they waited in the same queue or for the
// same pause of the leaf. Each burst reduces the window only once.
constexpr base::Duration kMinDecreaseInterval = base::Milliseconds(50);
// Seven reductions in a row take this window to about one request. A single
// pause of a leaf causes three or four.
constexpr double kInitialWindow = 16.0;
// A leaf that answers nothing in time is still probed at least this often,
// because it may have recovered.
constexpr double kMinWindow = 0.05;
constexpr base::Duration kMaxSendInterval = base::Milliseconds(4'000);

}  // namespace

bool LeafPace::MaySend(std::size_t in_flight, base::MonotonicTime now) const {
  if (!window_) {
    return true;
  }
  if (*window_ >= 1.0) {
    return static_cast<double>(in_flight + 1) <= *window_;
  }
  const base::Duration interval(static_cast<std::int64_t>(
      static_cast<double>(last_duration_.count()) / *window_));
  return in_flight == 0 &&
         now - last_send_ >= std::min(interval, kMaxSendInterval);
}

void LeafPace::DidEnd(bool is_in_time,
                      base::Duration time,
                      std::size_t in_flight,
                      base::MonotonicTime now) {
  last_duration_ = time;
  if (is_in_time) {
    DidEndInTime();
  } else if (now - last_decrease_ >= kMinDecreaseInterval) {
    const double before = window_.value_or(
        std::max(kInitialWindow, static_cast<double>(in_flight + 1)));
    window_ = std::max(kMinWindow, before * kDecreaseFactor);
    last_decrease_ = now;
  }
}

void LeafPace::DidEndInTime() {
  if (!window_) {
    return;
  }
  *window_ += kIncrease;
  if (*window_ >= kInitialWindow) {
    window_.reset();
  }
}

}  // namespace medlarspread::routing
