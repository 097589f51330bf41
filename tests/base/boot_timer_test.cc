// A timer that expires during a suspension fires as soon as the VM resumes.

#include "src/base/boot_timer.h"

#include <atomic>

#include <gtest/gtest.h>
#include <boost/asio/io_context.hpp>

namespace medlarspread::base {
namespace {

// The system clock plus a simulated suspension, which the kernel's timers don't
// see.
struct ClockWithSuspension : BootClock {
  using time_point = std::chrono::time_point<ClockWithSuspension>;

  static std::atomic<std::int64_t> suspended_us;

  static time_point now() {
    return time_point(BootClock::now().time_since_epoch() +
                      duration(suspended_us.load()));
  }
};

std::atomic<std::int64_t> ClockWithSuspension::suspended_us = 0;

// The timer and the simulated suspension both last a minute. A timer on the
// steady clock would wait for the whole minute.
TEST(BootTimerTest, FiresWhenTheVmResumes) {
  ClockWithSuspension::suspended_us = 0;
  boost::asio::io_context context;
  TimerOf<ClockWithSuspension> timer(context);
  timer.expires_after(Milliseconds(60'000));
  bool is_done = false;
  timer.async_wait(
      [&is_done](const boost::system::error_code&) { is_done = true; });
  context.poll();
  EXPECT_FALSE(is_done);
  ClockWithSuspension::suspended_us = 60'000'000;
  const auto began = std::chrono::steady_clock::now();
  context.run_one_for(std::chrono::seconds(30));
  EXPECT_TRUE(is_done);
  EXPECT_LT(std::chrono::steady_clock::now() - began, std::chrono::seconds(20));
}

TEST(BootTimerTest, NeverFiresEarly) {
  boost::asio::io_context context;
  BootTimer timer(context);
  const auto began = BootClock::now();
  timer.expires_after(kMaxTimerWait + Milliseconds(50));
  timer.async_wait([](const boost::system::error_code&) {});
  context.run();
  EXPECT_GE(BootClock::now() - began, kMaxTimerWait + Milliseconds(50));
}

}  // namespace
}  // namespace medlarspread::base
