// Token bucket that is refilled by successes, and exponential backoff with
// jitter.

#include "src/admission/retry_budget.h"

#include <algorithm>
#include <cassert>

namespace medlarspread::admission {
namespace {

constexpr base::Duration kFirstBackoff = base::Milliseconds(2);
constexpr int kMaximumDoublings = 6;

}  // namespace

RetryBudget::RetryBudget(double share, double most_tokens)
    : share_(share), most_tokens_(most_tokens), tokens_(most_tokens) {
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
  tokens_ = std::min(most_tokens_, tokens_ + share_);
}

base::Duration Backoff(int attempt, base::Random& random) {
  assert(attempt >= 1);
  const int doublings = std::min(attempt - 1, kMaximumDoublings);
  const base::Duration longest = kFirstBackoff * (1 << doublings);
  // Half of the delay is fixed, so that a retry never follows immediately.
  const double jitter = random.Unit() * static_cast<double>(longest.count());
  return longest / 2 + base::Duration(static_cast<std::int64_t>(jitter / 2));
}

}  // namespace medlarspread::admission
