// Tests the budget of one daemon and the total sends of all daemons.

#include "src/admission/extra_send_budget.h"

#include <algorithm>
#include <functional>
#include <vector>

#include <gtest/gtest.h>

#include "src/base/random.h"

namespace medlarspread::admission {
namespace {

using base::Milliseconds;
using base::MonotonicTime;

constexpr ExtraSendLimits kLimits{0.25, Milliseconds(2'500), 4.0, 2.0};

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

TEST(ExtraSendBudgetTest, RequestsEarnTheirShare) {
  ExtraSendBudget budget(kLimits, {});
  (void)TakeAll(budget, {});
  for (int request = 0; request < 4; ++request) {
    budget.DidRequest({});
  }
  EXPECT_EQ(TakeAll(budget, {}), 1);
}

TEST(ExtraSendBudgetTest, TimeRefillsTheSlackUpToTheBurst) {
  ExtraSendBudget budget(kLimits, {});
  (void)TakeAll(budget, {});
  const MonotonicTime second = MonotonicTime{} + Milliseconds(1'000);
  EXPECT_EQ(TakeAll(budget, second), 2);
  EXPECT_EQ(TakeAll(budget, second + Milliseconds(60'000)), 4);
}

TEST(ExtraSendBudgetTest, EarnedSendsAreAvailableWhenAFaultBegins) {
  ExtraSendBudget budget({0.25, Milliseconds(10'000), 1.0, 0.0}, {});
  MonotonicTime now;
  for (int request = 0; request < 400; ++request) {
    budget.DidRequest(now);
    now = now + Milliseconds(20);
  }
  EXPECT_EQ(TakeAll(budget, now), 100);
}

TEST(ExtraSendBudgetTest, EarnedSendsExpire) {
  ExtraSendBudget budget({0.25, Milliseconds(10'000), 1.0, 0.0}, {});
  for (int request = 0; request < 400; ++request) {
    budget.DidRequest({});
  }
  EXPECT_EQ(TakeAll(budget, MonotonicTime{} + Milliseconds(10'000)), 0);
}

TEST(ExtraSendBudgetTest, SpentSendsCountForTheWholeTime) {
  ExtraSendBudget budget({0.25, Milliseconds(10'000), 1.0, 0.0}, {});
  for (int request = 0; request < 400; ++request) {
    budget.DidRequest({});
  }
  EXPECT_EQ(TakeAll(budget, {}), 100);
  // Requests count for slightly less than that time, sends for slightly more.
  const MonotonicTime later = MonotonicTime{} + Milliseconds(10'000);
  for (int request = 0; request < 400; ++request) {
    budget.DidRequest(later);
  }
  EXPECT_EQ(TakeAll(budget, later), 0);
  EXPECT_EQ(TakeAll(budget, later + Milliseconds(1'000)), 100);
}

TEST(ExtraSendBudgetTest, ALowerLimitReducesTheSavedSlack) {
  ExtraSendBudget budget(kLimits, {});
  const MonotonicTime later = MonotonicTime{} + Milliseconds(10'000);
  ASSERT_TRUE(budget.Take(later));
  budget.set_limits({0.25, Milliseconds(2'500), 1.0, 0.0});
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

// Simulates many daemons that send whenever permitted and restart at random.
class FleetBudgetTest : public testing::TestWithParam<std::uint64_t> {
 protected:
  // What the leaves received from all daemons in one step.
  struct Seen {
    int requests = 0;
    int extra = 0;
  };

  static constexpr int kDaemons = 9;
  static constexpr int kStepsInWindow = 1'000;
  static constexpr base::Duration kStep = Milliseconds(10);
  static constexpr ExtraSendBound kBound{0.2, 58.0, Milliseconds(10'000)};

  // Runs the simulation; in each step every daemon gets a request with the
  // probability that `rate` returns for the step.
  std::vector<Seen> Play(int steps, const std::function<double()>& rate) {
    const ExtraSendLimits limits =
        PlanExtraSends(kBound, PartOf({.daemons = kDaemons}));
    MonotonicTime now;
    std::vector<ExtraSendBudget> daemons(kDaemons,
                                         ExtraSendBudget(limits, now));
    std::vector<Seen> all;
    for (int step = 0; step < steps; ++step) {
      now = now + kStep;
      if (random_.Below(2'000) == 0) {
        // All daemons restart at the same time.
        daemons.assign(kDaemons, ExtraSendBudget(limits, now));
      }
      Seen seen;
      const double probability = rate();
      const bool are_greedy = step / 700 % 2 == 1;
      for (ExtraSendBudget& daemon : daemons) {
        if (random_.Unit() < probability) {
          daemon.DidRequest(now);
          ++seen.requests;
        }
        seen.extra += are_greedy ? TakeAll(daemon, now) : 0;
      }
      all.push_back(seen);
    }
    return all;
  }

  // Requests and extra sends in the window that begins at `first`.
  static Seen Window(const std::vector<Seen>& all, int first) {
    Seen sum;
    const int end =
        std::min<int>(first + kStepsInWindow, static_cast<int>(all.size()));
    for (int step = std::max(0, first); step < end; ++step) {
      sum.requests += all[static_cast<std::size_t>(step)].requests;
      sum.extra += all[static_cast<std::size_t>(step)].extra;
    }
    return sum;
  }

  base::Random random_{GetParam()};
};

// With steady traffic, no window has more extra sends than its own requests
// permit.
TEST_P(FleetBudgetTest, NoWindowExceedsTheBoundOfItsOwnRequests) {
  const double rate = random_.Unit();
  const std::vector<Seen> all = Play(6'000, [rate] { return rate; });
  for (int first = -kStepsInWindow; first < 6'000; first += 10) {
    const Seen seen = Window(all, first);
    ASSERT_LE(seen.extra, kBound.share * seen.requests + kBound.slack)
        << "seed " << GetParam() << ", step " << first;
  }
}

// With varying traffic the bound is based on the requests of the window itself,
// of the previous one, or of the one half a window earlier, whichever is
// largest: a window in which traffic has just ended may still retry earlier
// requests.
TEST_P(FleetBudgetTest, NoWindowExceedsTheBoundWhenTrafficComesAndGoes) {
  double rate = 0.2;
  const std::vector<Seen> all = Play(6'000, [&] {
    if (random_.Below(500) == 0) {
      rate = random_.Unit();
    }
    return rate;
  });
  for (int first = -kStepsInWindow; first < 6'000; first += 10) {
    const int requests =
        std::max({Window(all, first).requests,
                  Window(all, first - kStepsInWindow / 2).requests,
                  Window(all, first - kStepsInWindow).requests});
    ASSERT_LE(Window(all, first).extra, kBound.share * requests + kBound.slack)
        << "seed " << GetParam() << ", step " << first;
  }
}

INSTANTIATE_TEST_SUITE_P(Seeds,
                         FleetBudgetTest,
                         testing::Range<std::uint64_t>(1, 17));

}  // namespace
}  // namespace medlarspread::admission
