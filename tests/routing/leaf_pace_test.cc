// Tests the limit on requests in flight at a leaf that answers late.

#include "src/routing/leaf_pace.h"

#include <algorithm>
#include <map>
#include <utility>
#include <vector>

#include <gtest/gtest.h>

namespace medlarspread::routing {
namespace {

using base::Milliseconds;
using base::MonotonicTime;

class LeafPaceTest : public testing::Test {
 protected:
  // `replies` replies to requests that were alone at the leaf, one every `gap`.
  void End(int replies, bool is_in_time, base::Duration gap) {
    for (int reply = 0; reply < replies; ++reply) {
      now_ = now_ + gap;
      pace_.DidEnd(is_in_time, gap, 0, now_);
    }
  }

  // How many requests may be in flight now.
  std::size_t Capacity() const {
    std::size_t capacity = 0;
    while (capacity < kMany && pace_.MaySend(capacity, now_)) {
      ++capacity;
    }
    return capacity;
  }

  static constexpr std::size_t kMany = 1'000;
  LeafPace pace_;
  MonotonicTime now_ = MonotonicTime{} + Milliseconds(1'000);
};

TEST_F(LeafPaceTest, HasNoLimitBeforeALateReply) {
  EXPECT_EQ(Capacity(), kMany);
  End(10, true, Milliseconds(20));
  EXPECT_EQ(Capacity(), kMany);
}

TEST_F(LeafPaceTest, StartsAtTheRequestsInFlight) {
  pace_.DidEnd(false, Milliseconds(200), 99, now_);
  EXPECT_EQ(Capacity(), 70U);
}

TEST_F(LeafPaceTest, OnePauseCausesNoEffectiveLimit) {
  End(4, false, Milliseconds(60));
  EXPECT_GE(Capacity(), 3U);
}

TEST_F(LeafPaceTest, ABurstOfLateRepliesCountsOnce) {
  pace_.DidEnd(false, Milliseconds(200), 99, now_);
  now_ = now_ + Milliseconds(10);
  pace_.DidEnd(false, Milliseconds(200), 98, now_);
  EXPECT_EQ(Capacity(), 70U);
  now_ = now_ + Milliseconds(50);
  pace_.DidEnd(false, Milliseconds(200), 97, now_);
  EXPECT_EQ(Capacity(), 49U);
}

TEST_F(LeafPaceTest, ALeafThatIsAlwaysLateIsProbed) {
  End(40, false, Milliseconds(200));
  pace_.DidSend(now_);
  EXPECT_FALSE(pace_.MaySend(0, now_ + Milliseconds(3'900)));
  EXPECT_TRUE(pace_.MaySend(0, now_ + Milliseconds(4'000)));
  EXPECT_FALSE(pace_.MaySend(1, now_ + Milliseconds(4'000)));
}

TEST_F(LeafPaceTest, RepliesInTimeIncreaseTheWindow) {
  End(40, false, Milliseconds(200));
  EXPECT_LE(Capacity(), 1U);
  End(30, true, Milliseconds(20));
  EXPECT_GE(Capacity(), 2U);
}

TEST_F(LeafPaceTest, EnoughRepliesInTimeRemoveTheLimit) {
  End(40, false, Milliseconds(200));
  End(170, true, Milliseconds(20));
  EXPECT_EQ(Capacity(), kMany);
}

// Three daemons share a leaf with three slots that has become ten times slower:
// it can serve 20 requests/s of 150 ms, and each daemon receives 30 requests/s.
// The window keeps most of the sent requests in time.
TEST_F(LeafPaceTest, DaemonsThatShareASlowLeafStayInTime) {
  constexpr int kDaemons = 3;
  constexpr auto kWork = Milliseconds(150);
  constexpr auto kTarget = Milliseconds(190);
  std::vector<LeafPace> daemons(kDaemons);
  std::vector<std::vector<MonotonicTime>> in_flight(kDaemons);
  std::vector<MonotonicTime> slots(3);
  std::map<std::pair<MonotonicTime, int>, std::vector<base::Duration>> ends;
  int in_time = 0;
  int late = 0;
  for (int step = 0; step < 20'000; ++step) {
    now_ = now_ + Milliseconds(1);
    for (int daemon = 0; daemon < kDaemons; ++daemon) {
      const auto index = static_cast<std::size_t>(daemon);
      for (const base::Duration time : ends[{now_, daemon}]) {
        in_flight[index].pop_back();
        daemons[index].DidEnd(time <= kTarget, time, in_flight[index].size(),
                              now_);
        if (step > 5'000) {
          ++(time <= kTarget ? in_time : late);
        }
      }
      const bool is_asked = (step + 11 * daemon) % 33 == 0;
      if (!is_asked || !daemons[index].MaySend(in_flight[index].size(), now_)) {
        continue;
      }
      auto slot = std::min_element(slots.begin(), slots.end());
      *slot = std::max(*slot, now_) + kWork;
      ends[{*slot, daemon}].push_back(*slot - now_);
      in_flight[index].push_back(now_);
      daemons[index].DidSend(now_);
    }
  }
  EXPECT_GT(in_time, 170);
  EXPECT_GT(in_time, 2 * late);
}

}  // namespace
}  // namespace medlarspread::routing
