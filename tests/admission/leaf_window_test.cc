// Tests that the limit adapts to the leaf's replies.

#include "src/admission/leaf_window.h"

#include <random>

#include <gtest/gtest.h>

namespace medlarspread::admission {
namespace {

using base::Milliseconds;

constexpr base::MonotonicTime kStart{1'000'000};

TEST(LeafWindowTest, NeverExceedsSlotsOrConnections) {
  LeafWindow window(3, 2);
  EXPECT_TRUE(window.TryAcquire());
  EXPECT_TRUE(window.TryAcquire());
  EXPECT_FALSE(window.has_room());
  EXPECT_FALSE(window.TryAcquire());
  window.Release();
  EXPECT_TRUE(window.TryAcquire());
}

TEST(LeafWindowTest, ShedHalvesOncePerBurstAndPauses) {
  LeafWindow window(4, 25);
  window.DidReply({}, true, kStart);
  window.DidReply({}, true, kStart);
  EXPECT_EQ(window.limit(), 2);
  EXPECT_FALSE(window.TryAcquire(kStart));
  window.PauseFor(Milliseconds(30), kStart);
  EXPECT_FALSE(window.has_room(kStart + Milliseconds(29)));
  EXPECT_EQ(window.not_before(), kStart + Milliseconds(30));
  EXPECT_TRUE(window.TryAcquire(kStart + Milliseconds(30)));
}

TEST(LeafWindowTest, GrowsBackAfterShed) {
  LeafWindow window(2, 25);
  window.DidReply({}, true, kStart);
  ASSERT_EQ(window.limit(), 1);
  int answers = 0;
  while (window.limit() < 2) {
    ASSERT_LT(++answers, 50);
    window.DidReply(Milliseconds(5), false, kStart);
  }
  EXPECT_GE(answers, 5);
}

TEST(LeafWindowTest, ReducesWhenRequestsWaitInsideTheLeaf) {
  LeafWindow window(2, 25);
  for (int i = 0; i < 128; ++i) {
    window.DidReply(Milliseconds(5), false, kStart);
  }
  ASSERT_EQ(window.limit(), 2);
  for (int i = 0; i < 64; ++i) {
    window.DidReply(Milliseconds(15), false, kStart);
  }
  EXPECT_EQ(window.limit(), 1);
}

TEST(LeafWindowTest, FewStragglersDoNotReduce) {
  LeafWindow window(2, 25);
  for (int i = 0; i < 400; ++i) {
    window.DidReply(Milliseconds(i % 10 == 0 ? 50 : 5), false, kStart);
    ASSERT_EQ(window.limit(), 2);
  }
}

// Medians of few samples vary by chance, which must not be taken for queueing.
// Batches of 16 samples cost a fifth of the slots.
TEST(LeafWindowTest, SpreadOfServiceTimesDoesNotReduce) {
  constexpr std::uint64_t kSeed = 11;
  std::mt19937_64 engine(kSeed);
  std::gamma_distribution<> service_ms(2.0, 2.5);
  LeafWindow window(2, 25);
  int reduced = 0;
  constexpr int kReplies = 20'000;
  for (int i = 0; i < kReplies; ++i) {
    const base::Duration time(
        static_cast<std::int64_t>(service_ms(engine) * 1000.0));
    window.DidReply(time, false, kStart);
    reduced += window.limit() < 2 ? 1 : 0;
  }
  EXPECT_LT(reduced, kReplies / 100) << "seed " << kSeed;
}

TEST(LeafWindowTest, ColdLeafGetsDecreasingPauses) {
  LeafWindow window(2, 25);
  window.set_cold_since(kStart);
  EXPECT_EQ(window.limit(), 1);
  EXPECT_TRUE(window.TryAcquire(kStart));
  window.Release();
  window.DidReply(Milliseconds(10), false, kStart);
  const base::Duration first_pause = window.not_before() - kStart;
  EXPECT_GT(first_pause, Milliseconds(10));
  base::MonotonicTime now = window.not_before();
  window.DidReply(Milliseconds(10), false, now);
  EXPECT_LT(window.not_before() - now, first_pause);
  for (int i = 0; i < 40; ++i) {
    window.DidReply(Milliseconds(10), false, now);
  }
  EXPECT_EQ(window.limit(), 2);
}

}  // namespace
}  // namespace medlarspread::admission
