// Tests that the budgets of second sends and retries are never exceeded.

#include <gtest/gtest.h>

#include "src/admission/retry_budget.h"
#include "src/admission/second_send_policy.h"

namespace medlarspread::admission {
namespace {

using base::Milliseconds;

constexpr double kShare = SecondSendPolicy::kDefaultShare;
constexpr double kMultiple = 4.0;

TEST(SecondSendPolicyTest, NoDelayBeforeEnoughReplies) {
  SecondSendPolicy policy(kShare, kMultiple);
  for (int i = 0; i < 31; ++i) {
    policy.DidReply(Milliseconds(5));
  }
  EXPECT_EQ(policy.Delay(), std::nullopt);
  policy.DidReply(Milliseconds(5));
  EXPECT_EQ(policy.Delay(), Milliseconds(20));
}

TEST(SecondSendPolicyTest, StragglersDoNotRaiseTheDelay) {
  SecondSendPolicy policy(kShare, kMultiple);
  for (int i = 0; i < 1024; ++i) {
    policy.DidReply(Milliseconds(i % 50 == 0 ? 500 : 5));
  }
  EXPECT_EQ(policy.Delay(), Milliseconds(20));
}

TEST(SecondSendPolicyTest, DelayFollowsTheWork) {
  SecondSendPolicy policy(kShare, kMultiple);
  for (int i = 0; i < 512; ++i) {
    policy.DidReply(Milliseconds(5));
  }
  for (int i = 0; i < 512; ++i) {
    policy.DidReply(Milliseconds(10));
  }
  EXPECT_EQ(policy.Delay(), Milliseconds(40));
}

TEST(SecondSendPolicyTest, BudgetIsAShareOfFirstSends) {
  SecondSendPolicy policy(0.5);
  int taken = 0;
  constexpr int kSends = 10'000;
  for (int i = 0; i < kSends; ++i) {
    policy.DidFirstSend();
    taken += policy.TakeBudget() ? 1 : 0;
  }
  EXPECT_LE(taken, kSends * SecondSendPolicy::kMaximumShare + 1);
  EXPECT_GE(taken, kSends * SecondSendPolicy::kMaximumShare - 1);
}

// If half of all requests need a second send, the delay grows until the budget
// is sufficient; it falls again once few requests need one.
TEST(SecondSendPolicyTest, WaitsLongerWhileTheBudgetRunsOut) {
  SecondSendPolicy policy(kShare, kMultiple);
  const auto work = [&policy](int requests, int ask_every) {
    for (int i = 0; i < requests; ++i) {
      policy.DidFirstSend();
      policy.DidReply(Milliseconds(5));
      if (i % ask_every == 0) {
        policy.TakeBudget();
      }
    }
  };
  work(64, 64);
  const auto before = policy.Delay();
  work(2000, 2);
  EXPECT_GT(policy.Delay(), before);
  work(20'000, 1000);
  EXPECT_EQ(policy.Delay(), before);
}

TEST(RetryBudgetTest, AnOutageUsesUpTheBudget) {
  RetryBudget budget(0.1);
  int taken = 0;
  for (int i = 0; i < 1000; ++i) {
    taken += budget.Take() ? 1 : 0;
  }
  EXPECT_EQ(taken, 10);
  for (int i = 0; i < 20; ++i) {
    budget.DidSucceed();
  }
  EXPECT_TRUE(budget.Take());
}

TEST(BackoffTest, GrowsWithinBoundsAndSpreads) {
  base::Random random(7);
  for (int attempt = 1; attempt < 40; ++attempt) {
    const base::Duration wait = Backoff(attempt, random);
    EXPECT_GE(wait, Milliseconds(1));
    EXPECT_LE(wait, Milliseconds(128));
  }
  EXPECT_NE(Backoff(7, random), Backoff(7, random));
}

}  // namespace
}  // namespace medlarspread::admission
