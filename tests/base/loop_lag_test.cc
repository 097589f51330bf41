// The lag is measured with a probe task and by late ticks, and expires soon.

#include "src/base/loop_lag.h"

#include <deque>

#include <gtest/gtest.h>

namespace medlarspread::base {
namespace {

class LoopLagTest : public testing::Test {
 protected:
  void RunAll() {
    while (!tasks_.empty()) {
      tasks_.front()();
      tasks_.pop_front();
    }
  }

  const std::shared_ptr<ManualTime> time_ =
      std::make_shared<ManualTime>(1'000'000, 0);
  std::deque<std::function<void()>> tasks_;
  LoopLag lag_{Clock(time_), [this](std::function<void()> task) {
                 tasks_.push_back(std::move(task));
               }};
};

TEST_F(LoopLagTest, IdleLoopHasNoLag) {
  EXPECT_EQ(lag_.Estimate(), Duration{});
  RunAll();
  EXPECT_EQ(lag_.Estimate(), Duration{});
}

TEST_F(LoopLagTest, IsTheDelayOfTheProbe) {
  (void)lag_.Estimate();
  time_->Advance(Milliseconds(40));
  RunAll();
  EXPECT_EQ(lag_.Estimate(), Milliseconds(40));
}

TEST_F(LoopLagTest, GrowsWhileTheProbeIsPending) {
  (void)lag_.Estimate();
  time_->Advance(Milliseconds(70));
  EXPECT_EQ(lag_.Estimate(), Milliseconds(70));
  EXPECT_EQ(tasks_.size(), 1U);
}

TEST_F(LoopLagTest, MeasurementExpires) {
  (void)lag_.Estimate();
  time_->Advance(Milliseconds(40));
  RunAll();
  time_->Advance(Milliseconds(500));
  EXPECT_EQ(lag_.Estimate(), Duration{});
}

// When a frozen VM resumes, its pending requests may have waited as long as the
// freeze lasted; the tick may run before or after they are read.
TEST_F(LoopLagTest, LateTickShowsThatTheThreadWasBlocked) {
  lag_.ExpectTick({2'000'000});
  time_->Advance(Milliseconds(4'000));
  EXPECT_EQ(lag_.Estimate(), Milliseconds(3'000));
  RunAll();
  lag_.ExpectTick({6'000'000});
  EXPECT_EQ(lag_.Estimate(), Milliseconds(3'000));
  RunAll();
  // The measurement expires soon after.
  time_->Advance(Milliseconds(500));
  EXPECT_EQ(lag_.Estimate(), Duration{});
}

TEST_F(LoopLagTest, TickOnTimeAddsNoLag) {
  lag_.ExpectTick({2'000'000});
  time_->Advance(Milliseconds(900));
  EXPECT_EQ(lag_.Estimate(), Duration{});
  RunAll();
  time_->Advance(Milliseconds(100));
  lag_.ExpectTick({3'000'000});
  EXPECT_EQ(lag_.Estimate(), Duration{});
}

}  // namespace
}  // namespace medlarspread::base
