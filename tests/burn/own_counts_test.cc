// Tests the order in which buckets are written and closed, and how counts are
// handled that cannot be kept or whose write has an unknown outcome.

#include "src/burn/own_counts.h"

#include <gtest/gtest.h>

#include "src/store/store.h"

namespace medlarspread::burn {
namespace {

constexpr std::int64_t kNonce = 99;

class OwnCountsTest : public testing::Test {
 protected:
  static BurnSettings MakeSettings() {
    BurnSettings settings;
    settings.vm_name = "entry-1";
    settings.incarnation = 1;
    settings.failure_domain = "a";
    settings.maximum_buckets = 4;
    return settings;
  }

  // Collects `asked` requests of this minute, then lets ten minutes pass.
  void CountThenPassBucket(std::int64_t asked) {
    Cells cells;
    cells[{MinuteOf(time_->wall_milliseconds()), "desk", {}}].asked = asked;
    counts_.Collect(cells);
    time_->Advance(
        base::Milliseconds(kMinutesPerBucket * kMillisecondsPerMinute));
    counts_.Collect({});
  }

  std::int64_t AskedInSegments() const {
    std::int64_t asked = 0;
    for (const auto& [key, segment] : counts_.Segments()) {
      for (const auto& [cell, counts] : segment.cells) {
        asked += counts.asked;
      }
    }
    return asked;
  }

  std::int64_t AskedInGaps() const {
    std::int64_t asked = 0;
    for (const auto& [key, segment] : counts_.Segments()) {
      for (const Gap& gap : segment.gaps) {
        asked += gap.requests.at("desk");
      }
    }
    return asked;
  }

  // Starts at a full hour.
  std::shared_ptr<base::ManualTime> time_ =
      std::make_shared<base::ManualTime>(1'000, 3'600'000);
  OwnCounts counts_{MakeSettings(), base::Clock(time_), kNonce};
};

TEST_F(OwnCountsTest, NothingIsClosedBeforeTheCurrentBucketIsWritten) {
  CountThenPassBucket(5);
  time_->Advance(base::Milliseconds(60'000));
  counts_.Collect({});
  const auto first = counts_.NextWrite(false);
  ASSERT_TRUE(first.has_value());
  EXPECT_EQ(first->key, "burn/raw/a/entry-1/1/7/0");
  EXPECT_FALSE(first->segment.is_closed);
  counts_.MarkInDoubt(first->key);
  // It is not known whether the current bucket is in the store. If the older
  // one were closed now, a crash of this VM could go unnoticed.
  const auto second = counts_.NextWrite(false);
  ASSERT_TRUE(second.has_value());
  EXPECT_EQ(second->key, "burn/raw/a/entry-1/1/6/0");
  EXPECT_FALSE(second->segment.is_closed);
  counts_.DidWrite(second->key, 1);
  counts_.DidReadBack(first->key, first->segment, 2);
  const auto again = counts_.NextWrite(false);
  ASSERT_TRUE(again.has_value());
  EXPECT_EQ(again->key, first->key);
  counts_.DidWrite(again->key, 3);
  const auto closing = counts_.NextWrite(false);
  ASSERT_TRUE(closing.has_value());
  EXPECT_EQ(closing->key, second->key);
  EXPECT_TRUE(closing->segment.is_closed);
}

TEST_F(OwnCountsTest, StopClosesTheCurrentBucketLast) {
  CountThenPassBucket(5);
  std::vector<std::pair<std::string, bool>> writes;
  std::int64_t version = 0;
  while (const auto write = counts_.NextWrite(true)) {
    writes.emplace_back(write->key, write->segment.is_last);
    counts_.DidWrite(write->key, ++version);
  }
  const std::vector<std::pair<std::string, bool>> expected = {
      {"burn/raw/a/entry-1/1/7/0", false},
      {"burn/raw/a/entry-1/1/6/0", false},
      {"burn/raw/a/entry-1/1/7/0", true}};
  EXPECT_EQ(writes, expected);
  EXPECT_TRUE(counts_.is_finished());
}

TEST_F(OwnCountsTest, MemoryIsBoundedAndWhatIsGivenUpIsUnaccounted) {
  std::int64_t asked = 0;
  for (int bucket = 1; bucket <= 12; ++bucket) {
    CountThenPassBucket(bucket);
    asked += bucket;
    EXPECT_LE(counts_.bucket_count(), 4U);
    EXPECT_EQ(AskedInSegments() + AskedInGaps(), asked);
  }
  EXPECT_GT(AskedInGaps(), 0);
}

TEST_F(OwnCountsTest, GivenUpCountsThatAreStoredAreNotUnaccounted) {
  Cells cells;
  cells[{MinuteOf(time_->wall_milliseconds()), "desk", {}}].asked = 10;
  counts_.Collect(cells);
  const auto write = counts_.NextWrite(false);
  counts_.DidWrite(write->key, 1);
  for (int bucket = 0; bucket < 5; ++bucket) {
    CountThenPassBucket(1);
  }
  // One of the five requests is in the bucket that was written, and two buckets
  // were dropped: only the requests added since then are lost.
  EXPECT_EQ(AskedInGaps(), 2);
}

TEST_F(OwnCountsTest, WhatCannotBeSettledIsUnaccountedNotCountedTwice) {
  Cells cells;
  cells[{MinuteOf(time_->wall_milliseconds()), "desk", {}}].asked = 10;
  counts_.Collect(cells);
  const auto first = counts_.NextWrite(false);
  counts_.DidWrite(first->key, 1);
  cells.begin()->second.asked = 7;
  counts_.Collect(cells);
  const auto second = counts_.NextWrite(false);
  EXPECT_EQ(second->segment.cells.begin()->second.asked, 17);
  counts_.MarkInDoubt(second->key);
  // A day later the segment is gone, and so are the lists of sources.
  time_->Advance(base::Milliseconds(86'400'000));
  counts_.Collect({});
  counts_.DidReadAbsent(second->key, std::nullopt);
  EXPECT_EQ(AskedInSegments(), 0);
  EXPECT_EQ(AskedInGaps(), 7);
}

TEST_F(OwnCountsTest, ClockThatStepsBackLosesNothing) {
  CountThenPassBucket(5);
  std::int64_t version = 0;
  time_->Advance(base::Milliseconds(60'000));
  counts_.Collect({});
  while (const auto write = counts_.NextWrite(false)) {
    counts_.DidWrite(write->key, ++version);
  }
  // The bucket is closed and dropped; its late count gets another key.
  Cells late;
  late[{MinuteOf(3'600'000), "desk", {}}].asked = 3;
  counts_.Collect(late);
  EXPECT_EQ(AskedInSegments(), 3);
  ASSERT_TRUE(counts_.Segments().contains("burn/raw/a/entry-1/1/6/1"));
}

}  // namespace
}  // namespace medlarspread::burn
