// How many retries are paid for, so that they can't keep an overload going: a
// share of the successes, saved up to a bound. One budget serves one class.
//
// Pure decision code; calls come from one sequence.

#ifndef MEDLARSPREAD_ADMISSION_RETRY_BUDGET_H_
#define MEDLARSPREAD_ADMISSION_RETRY_BUDGET_H_

#include "src/base/clock.h"
#include "src/base/random.h"

namespace medlarspread::admission {

class RetryBudget {
 public:
  static constexpr double kDefaultShare = 0.1;

  // A quiet class can retry a few times; a blackout uses this up at once and
  // from then on only successes pay.
  static constexpr double kDefaultTokens = 10.0;

  explicit RetryBudget(double share = kDefaultShare,
                       double most_tokens = kDefaultTokens);

  // Takes one retry if the budget lasts.
  bool Take();
  // A first try or a retry succeeded: it earns its share.
  void DidSucceed();

 private:
  const double share_;
  const double most_tokens_;
  // Invariant: 0 <= tokens_ <= most_tokens_.
  double tokens_;
};

// How long to wait before try number `attempt` (1 is the first retry): doubles
// with each, up to a bound, with jitter so that retries don't come together.
base::Duration Backoff(int attempt, base::Random& random);

}  // namespace medlarspread::admission

#endif  // MEDLARSPREAD_ADMISSION_RETRY_BUDGET_H_
