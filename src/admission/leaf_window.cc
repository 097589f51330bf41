// The adaptive limit: additive increase, multiplicative decrease, and a
// baseline of the service time from medians, so that a few stragglers don't
// affect it.

#include "src/admission/leaf_window.h"

#include <algorithm>
#include <cassert>

namespace medlarspread::admission {
namespace {

// The lowest limit: one request, followed by a pause of three times its
// duration.
constexpr double kMinLimit = 0.25;
// Increase per answer, divided by the limit: the limit grows by one after
// `limit` / 0.1 answers.
constexpr double kIncrease = 0.1;
constexpr std::size_t kBatch = 64;
constexpr std::size_t kBatches = 8;
// Requests are considered to queue inside the leaf if their median time exceeds
// the lowest of the earlier medians by this factor.
constexpr double kQueueingFactor = 2.0;
// Minimum pause after a shed reply.
constexpr base::Duration kShedPause = base::Milliseconds(5);

}  // namespace

LeafWindow::LeafWindow(int max_concurrent, int connections)
    : maximum_(std::min(max_concurrent, connections)), limit_(maximum_) {
  assert(max_concurrent >= 1 && connections >= 1);
}

bool LeafWindow::TryAcquire() {
  if (!has_room()) {
    return false;
  }
  ++in_flight_;
  return true;
}

bool LeafWindow::TryAcquire(base::MonotonicTime now) {
  return has_room(now) && TryAcquire();
}

void LeafWindow::Release() {
  assert(in_flight_ > 0);
  --in_flight_;
}

void LeafWindow::DidReply(base::Duration service_time,
                          bool is_shed,
                          base::MonotonicTime now) {
  if (is_shed) {
    DidShed(now);
    return;
  }
  RecordServiceTime(service_time);
  Grow(service_time, now);
}

void LeafWindow::PauseFor(base::Duration retry_after, base::MonotonicTime now) {
  not_before_ = std::max(not_before_, now + retry_after);
}

void LeafWindow::set_cold_since(base::MonotonicTime since) {
  limit_ = kMinLimit;
  last_halved_ = since;
}

int LeafWindow::limit() const {
  return std::max(1, static_cast<int>(limit_));
}

void LeafWindow::DidShed(base::MonotonicTime now) {
  not_before_ = std::max(not_before_, now + kShedPause);
  // Requests that are shed in one burst count as one event.
  if (now - last_halved_ < std::max(typical_, kShedPause)) {
    return;
  }
  last_halved_ = now;
  limit_ = std::max(kMinLimit, limit_ / 2);
}

void LeafWindow::RecordServiceTime(base::Duration service_time) {
  constexpr int kWeight = 8;
  typical_ = typical_ == base::Duration{}
                 ? service_time
                 : typical_ + (service_time - typical_) / kWeight;
  batch_.push_back(service_time);
  if (batch_.size() == kBatch) {
    CompareWithBaseline();
  }
}

void LeafWindow::CompareWithBaseline() {
  const auto middle = batch_.begin() + kBatch / 2;
  std::nth_element(batch_.begin(), middle, batch_.end());
  const base::Duration median = *middle;
  batch_.clear();
  if (!medians_.empty()) {
    const base::Duration baseline =
        *std::min_element(medians_.begin(), medians_.end());
    if (base::ToMilliseconds(median) >
        kQueueingFactor * base::ToMilliseconds(baseline)) {
      limit_ = std::max(1.0, limit_ - 1);
    }
  }
  // NOTE: a leaf that stays slow raises the baseline once the older medians
  // have been dropped, so that a lasting change of the service time is not
  // taken for queueing.
  medians_.push_back(median);
  if (medians_.size() > kBatches) {
    medians_.pop_front();
  }
}

void LeafWindow::Grow(base::Duration service_time, base::MonotonicTime now) {
  limit_ =
      std::min<double>(maximum_, limit_ + kIncrease / std::max(1.0, limit_));
  if (limit_ >= 1.0) {
    return;
  }
  const auto pause = static_cast<std::int64_t>(
      static_cast<double>(service_time.count()) * (1.0 / limit_ - 1.0));
  PauseFor(base::Duration(pause), now);
}

}  // namespace medlarspread::admission
