// Token bucket that limits retries to a share of the successes, so that retries
// can't sustain an overload. Each dispatcher and each request class has its
// own.
//
// Pure decision code; used on one sequence.

#ifndef MEDLARSPREAD_ADMISSION_RETRY_BUDGET_H_
#define MEDLARSPREAD_ADMISSION_RETRY_BUDGET_H_

#include "src/base/clock.h"
#include "src/base/random.h"

namespace medlarspread::admission {

class RetryBudget {
 public:
  static constexpr double kDefaultShare = 0.1;

  // Bucket capacity: permits a few retries at low traffic. A total outage uses
  // it up immediately, and from then on only successes refill it.
  static constexpr double kDefaultTokens = 10.0;

  explicit RetryBudget(double share = kDefaultShare,
                       double max_tokens = kDefaultTokens);

  // Takes one retry from the budget; false if it is used up.
  bool Take();
  // A first attempt or a retry succeeded, which refills the budget by its
  // share.
  void DidSucceed();

 private:
  const double share_;
  const double max_tokens_;
  // Invariant: 0 <= tokens_ <= max_tokens_.
  double tokens_;
};

// Delay before retry number `attempt`, counted from 1: doubles with each retry
// up to a bound, with jitter so that retries don't synchronize.
base::Duration Backoff(int attempt, base::Random& random);

}  // namespace medlarspread::admission

#endif  // MEDLARSPREAD_ADMISSION_RETRY_BUDGET_H_
