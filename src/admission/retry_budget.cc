// Token bucket that is refilled by successes, and exponential backoff with
// jitter.

#include "src/admission/retry_budget.h"

#include <algorithm>
#include <cassert>

namespace medlarspread::admission {
namespace {

constexpr base::Duration kInitialBackoff = base::Milliseconds(2);
constexpr int kMaxDoublings = 6;

}  // namespace

RetryBudget::RetryBudget(double share, double max_tokens)
    : share_(share), max_tokens_(max_tokens), tokens_(max_tokens) {
  assert(share >= 0.0 && share < 1.0);
}

bool RetryBudget::Take() {
  if (tokens_ < 1.0) {
    return false;
  }
  tokens_ -= 1.0;
  return true;
}

void RetryBudget::DidSucceed() {
  tokens_ = std::min(max_tokens_, tokens_ + share_);
}

base::Duration Backoff(int attempt, base::Random& random) {
  assert(attempt >= 1);
  const int doublings = std::min(attempt - 1, kMaxDoublings);
  const base::Duration max_delay = kInitialBackoff * (1 << doublings);
  // Half of the delay is fixed, so that a retry never follows immediately.
  const double jitter = random.Unit() * static_cast<double>(max_delay.count());
  return max_delay / 2 + base::Duration(static_cast<std::int64_t>(jitter / 2));
}

}  // namespace medlarspread::admission
