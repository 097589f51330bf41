// Errors print the step and the peer at which they occurred.

#include "src/base/error.h"

#include <gtest/gtest.h>

namespace medlarspread::base {
namespace {

TEST(ErrorTest, NamesStepAndPeer) {
  const Error error = MakeError(ErrorCode::kTimeout, Step::kSendUpstream,
                                "127.0.0.1:80", "no reply in time");
  EXPECT_EQ(error.ToString(),
            "timeout at send_upstream, peer 127.0.0.1:80: no reply in time");
}

TEST(ErrorTest, EveryCodeAndStepHasAName) {
  for (int value = 1; value <= static_cast<int>(ErrorCode::kInternal);
       ++value) {
    EXPECT_STRNE(ErrorCodeName(static_cast<ErrorCode>(value)), "invalid");
  }
  for (int value = 1; value <= static_cast<int>(Step::kReport); ++value) {
    EXPECT_STRNE(StepName(static_cast<Step>(value)), "invalid");
  }
}

TEST(ErrorTest, ComparesWithTheEnum) {
  const Error error = MakeError(ErrorCode::kShed, Step::kQueue, "", "");
  EXPECT_EQ(error.code, ErrorCode::kShed);
  EXPECT_NE(error.code, ErrorCode::kCold);
}

}  // namespace
}  // namespace medlarspread::base
