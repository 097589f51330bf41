// The shutdown steps run in order and wait for the operations in flight; after
// an early end, the log says how many were cut off.

#include "src/daemon/graceful_stop.h"

#include <sstream>

#include <gtest/gtest.h>

namespace medlarspread::daemon {
namespace {

class GracefulStopTest : public testing::Test {
 protected:
  bool Run(const std::vector<StopStep>& steps, base::Duration bound) {
    const base::Log log({.format = base::LogFormat::kText}, lines_);
    return GracefulStop(base::Clock(), log, bound).Run(steps, should_end_now_);
  }

  std::ostringstream lines_;
  std::atomic<bool> should_end_now_ = false;
};

TEST_F(GracefulStopTest, WaitsForEachStepBeforeTheNext) {
  std::string order;
  int left = 3;
  const bool is_clean = Run({{"one", [&] { order += "1"; },
                              [&] {
                                order += "w";
                                return --left;
                              }},
                             {"two", [&] { order += "2"; }, [] { return 0; }}},
                            base::Milliseconds(20000));
  EXPECT_TRUE(is_clean);
  EXPECT_EQ(order, "1www2");
}

TEST_F(GracefulStopTest, BoundEndsItAndEveryStepSaysWhatIsCut) {
  int started = 0;
  const bool is_clean =
      Run({{"sessions", [&] { ++started; }, [] { return 2; }},
           {"sub-queries", [&] { ++started; }, [] { return 5; }}},
          base::Milliseconds(1));
  EXPECT_FALSE(is_clean);
  EXPECT_EQ(started, 2);
  EXPECT_NE(lines_.str().find("'sessions': cut off 2"), std::string::npos)
      << lines_.str();
  EXPECT_NE(lines_.str().find("'sub-queries': cut off 5"), std::string::npos)
      << lines_.str();
}

TEST_F(GracefulStopTest, SecondSignalEndsItAtOnce) {
  should_end_now_ = true;
  EXPECT_FALSE(
      Run({{"sessions", [] {}, [] { return 1; }}}, base::Milliseconds(600000)));
}

}  // namespace
}  // namespace medlarspread::daemon
