// Sequences run tasks in order; timers fire in order of due time and can be
// cancelled.

#include "src/base/task_runner.h"

#include <vector>

#include <gtest/gtest.h>

namespace medlarspread::base {
namespace {

class TaskRunnerTest : public testing::Test {
 protected:
  std::shared_ptr<ManualTime> time_ = std::make_shared<ManualTime>(1000, 5000);
  std::shared_ptr<ManualScheduler> scheduler_ =
      std::make_shared<ManualScheduler>(time_);
  TaskRunner runner_{scheduler_};
};

TEST_F(TaskRunnerTest, RunsTimersInDueOrder) {
  std::vector<int> order;
  runner_.After(Milliseconds(20), [&] { order.push_back(2); });
  runner_.After(Milliseconds(10), [&] { order.push_back(1); });
  runner_.Post([&] { order.push_back(0); });
  EXPECT_TRUE(order.empty());
  scheduler_->Advance(Milliseconds(15));
  EXPECT_EQ(order, (std::vector<int>{0, 1}));
  scheduler_->Advance(Milliseconds(15));
  EXPECT_EQ(order, (std::vector<int>{0, 1, 2}));
}

TEST_F(TaskRunnerTest, CancelledTimerNeverRuns) {
  bool did_run = false;
  Timer timer = runner_.After(Milliseconds(10), [&] { did_run = true; });
  timer.Cancel();
  scheduler_->Advance(Milliseconds(50));
  EXPECT_FALSE(did_run);
}

TEST_F(TaskRunnerTest, WallTimeFollowsManualTime) {
  const Clock clock(time_);
  EXPECT_EQ(clock.WallMilliseconds(), 5000);
  scheduler_->Advance(Milliseconds(7));
  EXPECT_EQ(clock.WallMilliseconds(), 5007);
  EXPECT_EQ(clock.Now().microseconds, 8000);
}

TEST(TaskRunnerThreadsTest, CancelFromTheSameSequenceWins) {
  boost::asio::io_context context;
  const TaskRunner runner(context);
  bool did_run = false;
  Timer timer;
  timer = runner.After(Milliseconds(1), [&] { did_run = true; });
  runner.Post([&] { timer.Cancel(); });
  context.run();
  EXPECT_FALSE(did_run);
}

}  // namespace
}  // namespace medlarspread::base
