// Tests that a notice of a draining upstream counts as new only once, even if
// copies arrive with slightly different ages.

#include "src/membership/draining_notices.h"

#include <gtest/gtest.h>

namespace medlarspread::membership {
namespace {

constexpr base::Duration kLifetime = base::Milliseconds(30'000);
constexpr base::MonotonicTime kStart{1'000'000'000};

class DrainingNoticesTest : public testing::Test {
 protected:
  DrainingNotices notices_{kLifetime, 2};
};

TEST_F(DrainingNoticesTest, IsNewOnceAndPassedOnWithItsAge) {
  EXPECT_TRUE(notices_.Add("leaf-1", base::Milliseconds(10), kStart));
  EXPECT_FALSE(notices_.Add("leaf-1", base::Milliseconds(0), kStart));
  const auto current = notices_.Current(kStart + base::Milliseconds(90));
  ASSERT_EQ(current.size(), 1U);
  EXPECT_EQ(current.at("leaf-1"), 100);
}

TEST_F(DrainingNoticesTest, ACopyOfAnExpiredNoticeIsNotNew) {
  ASSERT_TRUE(notices_.Add("leaf-1", base::Milliseconds(0), kStart));
  const auto end = kStart + kLifetime;
  EXPECT_TRUE(notices_.Current(end).empty());
  EXPECT_FALSE(notices_.Add("leaf-1", kLifetime - base::Milliseconds(5), end));
}

TEST_F(DrainingNoticesTest, DrainingAgainLaterIsNew) {
  ASSERT_TRUE(notices_.Add("leaf-1", base::Milliseconds(0), kStart));
  EXPECT_TRUE(
      notices_.Add("leaf-1", base::Milliseconds(0), kStart + kLifetime));
}

TEST_F(DrainingNoticesTest, LimitsNoticesAndRejectsExpiredOnes) {
  for (const char* leaf : {"leaf-1", "leaf-2", "leaf-3"}) {
    EXPECT_TRUE(notices_.Add(leaf, base::Milliseconds(0), kStart));
  }
  EXPECT_EQ(notices_.Current(kStart).size(), 2U);
  EXPECT_FALSE(notices_.Add("leaf-4", kLifetime, kStart));
  EXPECT_FALSE(notices_.Add("leaf-4", base::Milliseconds(-1), kStart));
  EXPECT_FALSE(notices_.Add("", base::Milliseconds(0), kStart));
}

}  // namespace
}  // namespace medlarspread::membership
