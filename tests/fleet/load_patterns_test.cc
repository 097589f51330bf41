// Runs the heaviest load patterns in virtual time on several seeds and checks
// the minimum service that callers must get. Each threshold is below the
// measured value by about the spread between seeds; the comment at each test
// says which regression it guards against. Earlier results in these comments
// are mean credits.

#include <algorithm>

#include <gtest/gtest.h>

#include "emulator/fleet/patterns.h"
#include "emulator/fleet/virtual_fleet.h"

namespace medlarspread::emulator {
namespace {

constexpr std::uint64_t kSeeds = 8;

// Sums the callers' counts over the seconds that the pattern is about, over all
// seeds.
CallerCounts RunPattern(const char* name, std::uint64_t seeds = kSeeds) {
  const Pattern* pattern = FindPattern(name);
  CallerCounts all;
  for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
    const FleetReport report = VirtualFleet(pattern->make(seed)).Run();
    EXPECT_EQ(report.violations, std::vector<std::string>{})
        << name << ", seed " << seed;
    all += report.Sum(pattern->first_second, pattern->last_second);
  }
  return all;
}

// Pauses of leaves alone cost callers nothing, because second sends go to other
// leaves.
TEST(LoadPatternsTest, PausesOfLeavesCostNothing) {
  EXPECT_GT(RunPattern("calm").mean_credit(), 0.997);
}

// The second-send budget earned in calm seconds is available when leaves begin
// to lose replies, and those leaves are avoided while another leaf replies in
// time. With a bucket that saved up three sends and a failure penalty of 80 ms
// the result was 0.873.
TEST(LoadPatternsTest, LeavesThatLoseRepliesAreAvoided) {
  EXPECT_GT(RunPattern("resets").mean_credit(), 0.885);
}

// An at-most-once request whose reply is lost can't be retried. With a failure
// penalty of 80 ms the result was 0.940.
TEST(LoadPatternsTest, NonIdempotentRequestsAvoidFailingLeaves) {
  EXPECT_GT(RunPattern("resets_single").mean_credit(), 0.98);
}

// The leaves can answer a third of the requests. The other requests are
// answered at once without the shard: the median latency is less than half of
// the target. When all requests were sent, all of them waited for the target,
// and the result was 0.812.
TEST(LoadPatternsTest, AShardOfSlowLeavesDelaysNoCaller) {
  const CallerCounts counts = RunPattern("slow_shard");
  EXPECT_GT(counts.mean_credit(), 0.82);
  std::vector<base::Duration> times = counts.latencies;
  std::nth_element(
      times.begin(),
      times.begin() + static_cast<std::ptrdiff_t>(times.size() / 2),
      times.end());
  EXPECT_LT(times[times.size() / 2], base::Milliseconds(75));
}

TEST(LoadPatternsTest, SlowLeavesAreAvoided) {
  EXPECT_GT(RunPattern("slow_leaves").mean_credit(), 0.975);
}

TEST(LoadPatternsTest, SilentLeavesAreAvoided) {
  EXPECT_GT(RunPattern("dark_leaf").mean_credit(), 0.98);
}

TEST(LoadPatternsTest, RefusingLeavesAreAvoided) {
  EXPECT_GT(RunPattern("sheds").mean_credit(), 0.93);
}

// Sends that lost the race to a second send are cancelled, except for one per
// leaf, so that they don't occupy slots needed by requests that callers wait
// for. When all of them continued for 250 ms, the result was 0.713. A request
// for which too many shards have no leaf with capacity is not sent at all; when
// it was, the result was 0.803.
TEST(LoadPatternsTest, InABurstLeavesWorkOnRequestsThatAreAnswered) {
  EXPECT_GT(RunPattern("burst").mean_credit(), 0.84);
}

// After a restart the fleet has no latency data on its leaves, whose
// connections are still held by the previous daemon processes. When all sends
// that lost the race continued, the result was 0.841.
TEST(LoadPatternsTest, AFleetServesAtOnceAfterAPowerLoss) {
  EXPECT_GT(RunPattern("power_loss").mean_credit(), 0.85);
}

// 195 daemons with nothing to learn: the reports that they exchange must not
// reduce service.
TEST(LargeLoadPatternsTest, ALargeFleetWithoutFaultsServesAll) {
  EXPECT_GT(RunPattern("large_calm", 2).mean_credit(), 0.997);
}

// Each of 195 daemons sends one request in eight seconds. When each daemon had
// to detect by itself that half of the leaves are slow, the result was 0.618.
TEST(LargeLoadPatternsTest, ALargeFleetLearnsTogetherWhichLeavesAreSlow) {
  EXPECT_GT(RunPattern("large_slow_single").mean_credit(), 0.93);
}

// The same with leaves that lose one reply in twelve, for at-most-once
// requests. Without exchanged reports the result was 0.925.
TEST(LargeLoadPatternsTest, ALargeFleetLearnsTogetherWhichLeavesLoseReplies) {
  EXPECT_GT(RunPattern("large_resets_single").mean_credit(), 0.94);
}

// A fifth of the daemons, aggregators among them, is frozen for three seconds.
// A request sent to a frozen daemon is late, since its caller gives that daemon
// up only after a third of the request's time; requests sent to other daemons
// must be answered.
TEST(LargeLoadPatternsTest, FrozenAggregatorsCostFewAnswers) {
  const CallerCounts counts = RunPattern("large_frozen", 4);
  EXPECT_LT(counts.failed + counts.refused, 0.04 * counts.asked);
}

// Randomly drawn deployments, for which no setting was tuned: no invariant is
// violated.
class DrawnFleetTest : public testing::TestWithParam<std::uint64_t> {};

TEST_P(DrawnFleetTest, ViolatesNoInvariant) {
  const FleetReport report = VirtualFleet(DrawPlan(GetParam())).Run();
  EXPECT_EQ(report.violations, std::vector<std::string>{});
}

INSTANTIATE_TEST_SUITE_P(Seeds,
                         DrawnFleetTest,
                         testing::Range<std::uint64_t>(1, 61));

}  // namespace
}  // namespace medlarspread::emulator
