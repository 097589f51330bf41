// The delay is a multiple of the typical service time, which is the mean
// without the slowest answers: stragglers must not raise the delay that is
// meant to detect them.

#include "src/admission/second_send_policy.h"

#include <algorithm>
#include <cassert>
#include <numeric>

namespace medlarspread::admission {
namespace {

constexpr std::size_t kSamples = 512;
// Replies required before a delay is available.
constexpr std::size_t kMinSamples = 32;
// The delay is updated after this many replies.
constexpr std::size_t kUpdateInterval = 32;
// Share of the slowest samples that is ignored.
constexpr double kTrimmedShare = 0.05;
// The multiple is adjusted after kAdjustAfter first sends. It grows while more
// than the higher part of the budget is spent, so that the budget isn't used up
// by requests that are not the slowest, and falls while less than the lower
// part is spent.
constexpr double kAdjustAfter = 500.0;
constexpr double kMaxSpending = 0.85;
constexpr double kMinSpending = 0.65;
constexpr double kMaxMultiple = 16.0;
constexpr double kMultipleGrowth = 1.05;
constexpr base::Duration kMinDelay = base::Milliseconds(1);
// Bounds a burst of second sends after a time with few of them.
constexpr double kMaximumTokens = 20.0;

}  // namespace

SecondSendPolicy::SecondSendPolicy(double share, double min_multiple)
    : share_(std::clamp(share, 0.0, kMaximumShare)),
      min_multiple_(min_multiple),
      tokens_(share_ > 0 ? 1.0 : 0.0),
      multiple_(min_multiple) {}

bool SecondSendPolicy::TakeBudget() {
  if (tokens_ < 1.0) {
    return false;
  }
  tokens_ -= 1.0;
  ++taken_;
  return true;
}

void SecondSendPolicy::ReturnBudget() {
  tokens_ = std::min(kMaximumTokens, tokens_ + 1.0);
}

void SecondSendPolicy::DidFirstSend() {
  tokens_ = std::min(kMaximumTokens, tokens_ + share_);
  if (++first_sends_ == kAdjustAfter) {
    AdjustMultiple();
  }
}

void SecondSendPolicy::DidReply(base::Duration service_time) {
  if (samples_.size() < kSamples) {
    samples_.push_back(service_time);
  } else {
    samples_[next_] = service_time;
    next_ = (next_ + 1) % kSamples;
  }
  ++replies_;
  if (replies_ >= kMinSamples && replies_ % kUpdateInterval == 0) {
    UpdateDelay();
  }
}

void SecondSendPolicy::AdjustMultiple() {
  const double spent = taken_ / first_sends_;
  if (spent > kMaxSpending * share_) {
    multiple_ = std::min(kMaxMultiple, multiple_ * kMultipleGrowth);
  } else if (spent < kMinSpending * share_) {
    multiple_ = std::max(min_multiple_, multiple_ / kMultipleGrowth);
  }
  taken_ = 0;
  first_sends_ = 0;
}

void SecondSendPolicy::UpdateDelay() {
  std::vector<base::Duration> sorted = samples_;
  std::sort(sorted.begin(), sorted.end());
  const auto kept = static_cast<std::size_t>(
      static_cast<double>(sorted.size()) * (1.0 - kTrimmedShare));
  assert(kept > 0);
  const base::Duration sum =
      std::accumulate(sorted.begin(), sorted.begin() + static_cast<long>(kept),
                      base::Duration{});
  const double mean =
      static_cast<double>(sum.count()) / static_cast<double>(kept);
  delay_ = std::max(
      kMinDelay, base::Duration(static_cast<std::int64_t>(mean * multiple_)));
}

}  // namespace medlarspread::admission
