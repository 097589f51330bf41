// Tests the check of the bound on extra sends, based on arrivals at leaves.

#include "emulator/support/arrival_record.h"

#include <gtest/gtest.h>

namespace medlarspread::emulator {
namespace {

using base::Milliseconds;
using base::MonotonicTime;

constexpr admission::ExtraSendBound kBound{0.5, 1.0, Milliseconds(1'000)};

MonotonicTime At(int milliseconds) {
  return MonotonicTime{} + Milliseconds(milliseconds);
}

TEST(ArrivalRecordTest, TheFirstArrivalIsNoRepeatHoweverItCame) {
  ArrivalRecord record;
  EXPECT_TRUE(record.DidArrive("a", "c0", At(0)));
  EXPECT_TRUE(record.DidArrive("a", "c1", At(0)));
  EXPECT_FALSE(record.DidArrive("a", "c0", At(1)));
  EXPECT_TRUE(record.FindExcess(kBound).empty());
}

TEST(ArrivalRecordTest, CountsAWindowThatBeginsAnywhere) {
  ArrivalRecord record;
  record.DidArrive("a", "c0", At(0));
  record.DidArrive("b", "c0", At(0));
  // The bound allows two per second. The window from 700 on has three.
  record.DidArrive("a", "c0", At(700));
  record.DidArrive("a", "c0", At(1'100));
  EXPECT_TRUE(record.FindExcess(kBound).empty());
  record.DidArrive("a", "c0", At(1'699));
  EXPECT_EQ(record.FindExcess(kBound).size(), 1U);
}

TEST(ArrivalRecordTest, RequestsOfTheWindowBeforeCount) {
  ArrivalRecord record;
  for (const char* request : {"a", "b", "c", "d"}) {
    record.DidArrive(request, "c0", At(0));
  }
  for (int repeat = 0; repeat < 3; ++repeat) {
    record.DidArrive("a", "c0", At(950));
  }
  EXPECT_TRUE(record.FindExcess(kBound).empty());
  // Requests from two windows earlier don't count.
  record.DidArrive("a", "c0", At(3'000));
  EXPECT_TRUE(record.FindExcess(kBound).empty());
  record.DidArrive("a", "c0", At(3'001));
  EXPECT_EQ(record.FindExcess(kBound).size(), 1U);
}

TEST(ArrivalRecordTest, NamesEachCollectionOnce) {
  ArrivalRecord record;
  for (int repeat = 0; repeat < 9; ++repeat) {
    record.DidArrive("a", "c0", At(repeat));
    record.DidArrive("a", "c1", At(repeat));
  }
  const auto found = record.FindExcess(kBound);
  ASSERT_EQ(found.size(), 2U);
  EXPECT_NE(found[0].find("c0 got 8 sends"), std::string::npos) << found[0];
}

}  // namespace
}  // namespace medlarspread::emulator
