// Tests where gaps end, how many requests are estimated for them, and how
// covered time is removed from them.

#include "src/burn/gap_finder.h"

#include <gtest/gtest.h>

namespace medlarspread::burn {
namespace {

const VmIncarnation kFirst{"entry-1", 1};
const VmIncarnation kSecond{"entry-1", 2};
const VmIncarnation kOther{"entry-2", 1};
constexpr std::int64_t kNowMs = 1'000'000;

Histories TwoIncarnations() {
  Histories histories;
  histories[kFirst].range = {100'000, 200'000};
  histories[kSecond].range = {250'000, 900'000};
  histories[kOther].range = {0, 300'000};
  return histories;
}

TEST(GapFinderTest, NextIncarnationEndsTheGap) {
  EXPECT_EQ(LatestEndOf(kFirst, TwoIncarnations(), {}, kNowMs), 250'000);
  EXPECT_EQ(LatestEndOf(kSecond, TwoIncarnations(), {}, kNowMs), kNowMs);
  EXPECT_EQ(LatestEndOf(kOther, TwoIncarnations(), {}, kNowMs), kNowMs);
}

TEST(GapFinderTest, EarlierMarkEndsTheGapUnlessCountsCameLater) {
  EXPECT_EQ(LatestEndOf(kFirst, TwoIncarnations(), {{kFirst, 210'000}}, kNowMs),
            210'000);
  EXPECT_EQ(LatestEndOf(kFirst, TwoIncarnations(), {{kFirst, 199'999}}, kNowMs),
            250'000);
}

TEST(GapFinderTest, EstimatesFromTheBusiestMinute) {
  Histories histories;
  IncarnationHistory& history = histories[kFirst];
  history.range = {0, 150'000};
  history.cells[{0, "desk", {}}].asked = 30;
  history.cells[{1, "desk", {1, 0, 0, 0, 0}}].asked = 40;
  history.cells[{1, "desk", {2, 0, 0, 0, 0}}].asked = 20;
  // The last minute is covered by half, so its rate is 50 per minute.
  history.cells[{2, "desk", {}}].asked = 25;
  const Gap gap =
      GapAfter(kFirst, histories, 180'000, base::Milliseconds(10'000));
  EXPECT_EQ(gap.range, (WallRange{150'000, 180'000}));
  // 60 a minute over 40 seconds.
  EXPECT_EQ(gap.requests.at("desk"), 40);
}

TEST(GapFinderTest, EstimatesFromOthersIfLittleIsKnown) {
  Histories histories;
  histories[kFirst].range = {0, 59'999};
  histories[kFirst].cells[{0, "audit", {}}].asked = 9;
  histories[kOther].range = {0, 60'000};
  histories[kOther].cells[{0, "desk", {}}].asked = 120;
  const Gap gap = GapAfter(kFirst, histories, 79'999, base::Duration{});
  EXPECT_EQ(gap.requests.at("desk"), 40);
  EXPECT_EQ(gap.requests.at("audit"), 4);
  histories[kFirst].range.until_ms = 60'000;
  const Gap own = GapAfter(kFirst, histories, 80'000, base::Duration{});
  EXPECT_FALSE(own.requests.contains("desk"));
}

TEST(GapFinderTest, CutsCoveredTimeOut) {
  const Gap gap{kFirst, {100, 200}, {{"desk", 50}}};
  const auto around = TrimGaps({gap}, {{kFirst, {120, 150}}});
  ASSERT_EQ(around.size(), 2U);
  EXPECT_EQ(around[0], (Gap{kFirst, {100, 120}, {{"desk", 10}}}));
  EXPECT_EQ(around[1], (Gap{kFirst, {150, 200}, {{"desk", 25}}}));
  EXPECT_TRUE(TrimGaps({gap}, {{kFirst, {90, 210}}}).empty());
  EXPECT_EQ(TrimGaps({gap}, {{kFirst, {200, 300}}}).size(), 1U);
  EXPECT_EQ(TrimGaps({gap}, {{kFirst, {0, 100}}})[0], gap);
  EXPECT_EQ(TrimGaps({gap}, {{kFirst, {150, 150}}})[0], gap);
  EXPECT_EQ(TrimGaps({gap}, {{kSecond, {90, 210}}})[0], gap);
}

TEST(GapFinderTest, ClipsToAWindowAndRoundsUp) {
  const Gap gap{kFirst, {100, 200}, {{"desk", 50}}};
  EXPECT_EQ(ClipGap(gap, {150, 151})->requests.at("desk"), 1);
  EXPECT_FALSE(ClipGap(gap, {200, 300}).has_value());
}

}  // namespace
}  // namespace medlarspread::burn
