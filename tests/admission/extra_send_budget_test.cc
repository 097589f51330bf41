// The bucket of one daemon, and what all of them together send.

#include "src/admission/extra_send_budget.h"

#include <deque>
#include <vector>

#include <gtest/gtest.h>

#include "src/base/random.h"

namespace medlarspread::admission {
namespace {

using base::Milliseconds;
using base::MonotonicTime;

constexpr ExtraSendLimits kLimits{0.25, 4.0, 2.0};

int TakeAll(ExtraSendBudget& budget, MonotonicTime now) {
  int taken = 0;
  while (budget.Take(now)) {
    ++taken;
  }
  return taken;
}

TEST(ExtraSendBudgetTest, StartsNearlyEmpty) {
  ExtraSendBudget budget(kLimits, {});
  EXPECT_FALSE(budget.Take({}));
}

TEST(ExtraSendBudgetTest, RequestsAndTimeFillItUpToTheBurst) {
  ExtraSendBudget budget(kLimits, {});
  (void)TakeAll(budget, {});
  for (int request = 0; request < 4; ++request) {
    budget.DidRequest({});
  }
  EXPECT_EQ(TakeAll(budget, {}), 1);
  const MonotonicTime second = MonotonicTime{} + Milliseconds(1'000);
  EXPECT_EQ(TakeAll(budget, second), 2);
  EXPECT_EQ(TakeAll(budget, second + Milliseconds(60'000)), 4);
}

TEST(ExtraSendBudgetTest, ALowerLimitTakesWhatWasSavedUp) {
  ExtraSendBudget budget(kLimits, {});
  const MonotonicTime later = MonotonicTime{} + Milliseconds(10'000);
  ASSERT_TRUE(budget.Take(later));
  budget.set_limits({0.25, 1.0, 0.0});
  EXPECT_EQ(TakeAll(budget, later), 1);
}

TEST(PartOfTest, EqualDaemonsGetEqualParts) {
  EXPECT_DOUBLE_EQ(PartOf({.daemons = 8}), 0.125);
  EXPECT_DOUBLE_EQ(PartOf({}), 1.0);
}

TEST(PartOfTest, PartsAddUpToTheWhole) {
  const double aggregator =
      PartOf({.daemons = 64, .aggregators = 6, .is_aggregator = true});
  const double entry =
      PartOf({.daemons = 64, .aggregators = 6, .is_aggregator = false});
  EXPECT_NEAR(6 * aggregator + 58 * entry, 1.0, 1e-9);
  EXPECT_GT(aggregator, 10 * entry);
}

// Many daemons that send whenever they may, restart at random, and see traffic
// that comes and goes: in any ten seconds the leaves see no more than the
// bound.
class FleetBudgetTest : public testing::TestWithParam<std::uint64_t> {};

TEST_P(FleetBudgetTest, NoTenSecondsExceedTheBound) {
  constexpr int kDaemons = 9;
  constexpr int kSteps = 6'000;
  constexpr int kStepsInWindow = 1'000;
  const ExtraSendBound bound{0.2, 58.0};
  base::Random random(GetParam());
  const ExtraSendLimits limits =
      PlanExtraSends(bound, PartOf({.daemons = kDaemons}));
  MonotonicTime now;
  std::vector<ExtraSendBudget> daemons(kDaemons, ExtraSendBudget(limits, now));
  std::deque<std::pair<int, int>> window;
  int requests = 0;
  int extra = 0;
  double rate = 0.2;
  for (int step = 0; step < kSteps; ++step) {
    now = now + Milliseconds(10);
    if (random.Below(500) == 0) {
      rate = random.Unit();
    }
    if (random.Below(2'000) == 0) {
      // All restart at once.
      daemons.assign(kDaemons, ExtraSendBudget(limits, now));
    }
    std::pair<int, int> seen{0, 0};
    const bool are_greedy = step / 700 % 2 == 1;
    for (ExtraSendBudget& daemon : daemons) {
      if (random.Unit() < rate) {
        daemon.DidRequest(now);
        ++seen.first;
      }
      seen.second += are_greedy ? TakeAll(daemon, now) : 0;
    }
    window.push_back(seen);
    requests += seen.first;
    extra += seen.second;
    if (window.size() > kStepsInWindow) {
      requests -= window.front().first;
      extra -= window.front().second;
      window.pop_front();
    }
    ASSERT_LE(extra, bound.share * requests + bound.slack)
        << "seed " << GetParam() << ", step " << step;
  }
}

INSTANTIATE_TEST_SUITE_P(Seeds,
                         FleetBudgetTest,
                         testing::Range<std::uint64_t>(1, 9));

}  // namespace
}  // namespace medlarspread::admission
