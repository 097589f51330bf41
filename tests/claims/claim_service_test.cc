// Tests claims under single failures.

#include "src/claims/claim_service.h"

#include <gtest/gtest.h>

#include "src/claims/claim_protocol.h"
#include "tests/claims/claims_world.h"

namespace medlarspread::claims {
namespace {

constexpr base::Duration kLong = base::Milliseconds(5000);

// Returns the faults for the next calls in order; none after the last.
std::function<StoreFault()> InOrder(std::vector<StoreFault> faults) {
  auto next = std::make_shared<std::size_t>(0);
  return [faults = std::move(faults), next] {
    return *next < faults.size() ? faults[(*next)++] : StoreFault::kNone;
  };
}

TEST(ClaimServiceTest, GrantsOnceAndTellsTheSecondAsker) {
  ClaimsWorld world(3);
  const std::string id = world.MakeId("aaaaaaaa");
  const auto first = world.Ask(0, id);
  world.Advance(base::Milliseconds(50));
  const auto second = world.Ask(1, id);
  const auto third = world.Ask(0, id);
  world.Advance(base::Milliseconds(50));
  EXPECT_EQ(world.result(first).outcome, ClaimOutcome::kGranted);
  EXPECT_EQ(world.result(second).outcome, ClaimOutcome::kTaken);
  EXPECT_EQ(world.result(third).outcome, ClaimOutcome::kTaken);
  EXPECT_EQ(world.max_answers(), 1);
}

TEST(ClaimServiceTest, GrantsOneOfTwoAskersAtOnce) {
  ClaimsWorld world(3);
  const std::string id = world.MakeId("aaaaaaaa");
  const auto first = world.Ask(0, id);
  const auto second = world.Ask(1, id);
  world.Advance(base::Milliseconds(100));
  ASSERT_TRUE(world.is_settled(first) && world.is_settled(second));
  EXPECT_EQ(world.grants(id), 1);
}

TEST(ClaimServiceTest, ConflictingGroupersGrantOne) {
  ClaimsWorld world(2);
  world.SetView(0, {0});
  world.SetView(1, {1});
  const std::string id = world.MakeId("aaaaaaaa");
  const auto first = world.Ask(0, id);
  const auto second = world.Ask(1, id);
  world.Advance(base::Milliseconds(200));
  ASSERT_TRUE(world.is_settled(first) && world.is_settled(second));
  EXPECT_EQ(world.grants(id), 1);
  EXPECT_EQ(world.Counts(0).conflicts + world.Counts(1).conflicts, 1);
}

TEST(ClaimServiceTest, CommitsClaimsOfOneKeyInGroups) {
  ClaimsWorld world(1);
  for (int count = 0; count < 400; ++count) {
    world.Ask(0, world.MakeId("abcdefgh" + std::to_string(count)));
  }
  world.Advance(base::Milliseconds(200));
  EXPECT_EQ(world.Counts(0).granted, 400);
  // The first claim of each key is swapped alone, the rest as one group.
  EXPECT_EQ(world.Counts(0).swaps, 2 * kBucketsPerSlice);
}

TEST(ClaimServiceTest, AskersWaitForALongPauseBetweenGroups) {
  ClaimsWorld world(3);
  world.settings.group_interval = base::Milliseconds(400);
  for (int daemon = 0; daemon < 3; ++daemon) {
    world.Restart(daemon);
  }
  for (int count = 0; count < 60; ++count) {
    world.Ask(count % 3, world.MakeId("abcdefgh" + std::to_string(count)));
    world.Advance(base::Milliseconds(10));
  }
  world.Advance(kLong);
  std::int64_t granted = 0;
  for (int daemon = 0; daemon < 3; ++daemon) {
    granted += world.Counts(daemon).granted;
    EXPECT_EQ(world.Counts(daemon).conflicts, 0);
  }
  EXPECT_EQ(granted, 60);
}

TEST(ClaimServiceTest, SettlesALostReplyByReadingBack) {
  ClaimsWorld world(1);
  world.store().next_fault = InOrder({StoreFault::kLoseReply});
  const auto question = world.Ask(0, world.MakeId("aaaaaaaa"));
  world.Advance(base::Milliseconds(400));
  EXPECT_EQ(world.result(question).outcome, ClaimOutcome::kGranted);
  EXPECT_EQ(world.Counts(0).swaps, 1);
  EXPECT_EQ(world.Counts(0).reads, 1);
}

TEST(ClaimServiceTest, ADelayedSwapCanNotUndoALaterOne) {
  ClaimsWorld world(2);
  world.store().next_fault = InOrder({StoreFault::kApplyLate});
  const std::string id = world.MakeId("aaaaaaaa");
  const auto first = world.Ask(0, id);
  world.Advance(base::Milliseconds(400));
  const auto second = world.Ask(1, id);
  world.Advance(kLong);
  EXPECT_EQ(world.result(first).outcome, ClaimOutcome::kGranted);
  EXPECT_EQ(world.result(second).outcome, ClaimOutcome::kTaken);
}

TEST(ClaimServiceTest, WhatCanNotBeSettledIsNeverGranted) {
  ClaimsWorld world(1);
  world.store().next_fault = [] { return StoreFault::kLoseReply; };
  const std::string id = world.MakeId("aaaaaaaa");
  const auto first = world.Ask(0, id, base::Milliseconds(300));
  world.Advance(kLong);
  EXPECT_EQ(world.result(first).outcome, ClaimOutcome::kUnsettled);
  // It was recorded nevertheless, so no other daemon may send it either.
  world.store().next_fault = [] { return StoreFault::kNone; };
  const auto second = world.Ask(0, id);
  world.Advance(kLong);
  EXPECT_EQ(world.result(second).outcome, ClaimOutcome::kTaken);
  EXPECT_EQ(world.grants(id), 0);
}

TEST(ClaimServiceTest, AnOutageIsRefusedAtOnceAndSaysWhenToComeBack) {
  ClaimsWorld world(2);
  world.store().next_fault = [] { return StoreFault::kUnavailable; };
  const auto question = world.Ask(0, world.MakeId("aaaaaaaa"));
  world.Advance(base::Milliseconds(100));
  ASSERT_TRUE(world.is_settled(question));
  EXPECT_EQ(world.result(question).outcome, ClaimOutcome::kRefused);
  EXPECT_GT(world.result(question).retry_after, base::Duration::zero());
  EXPECT_LE(world.store().calls(), world.settings.store_attempts);
}

TEST(ClaimServiceTest, GoesOnWithoutTheGroupingDaemon) {
  ClaimsWorld world(3);
  const std::string id = world.MakeId("aaaaaaaa");
  const int grouping = world.GroupingDaemon(id);
  const int asker = (grouping + 1) % 3;
  world.Pause(grouping);
  const auto question = world.Ask(asker, id);
  world.Advance(base::Milliseconds(500));
  EXPECT_EQ(world.result(question).outcome, ClaimOutcome::kGranted);
  // The paused daemon resumes and finds the claim recorded: nothing changes.
  world.Resume(grouping);
  world.Advance(kLong);
  EXPECT_EQ(world.grants(id), 1);
  EXPECT_EQ(world.max_answers(), 1);
}

TEST(ClaimServiceTest, AGrantThatArrivesAfterTheDeadlineIsDropped) {
  ClaimsWorld world(2);
  const std::string id = world.MakeId("aaaaaaaa");
  const int asker = 1 - world.GroupingDaemon(id);
  const auto question = world.Ask(asker, id, base::Milliseconds(40));
  world.Advance(base::Milliseconds(2));
  // The reply waits in the requesting daemon's queue while its deadline passes.
  world.Pause(asker);
  world.Advance(kLong);
  world.Resume(asker);
  world.Advance(kLong);
  EXPECT_EQ(world.result(question).outcome, ClaimOutcome::kUnsettled);
  EXPECT_EQ(world.max_answers(), 1);
}

TEST(ClaimServiceTest, DuplicatedMessagesMakeNoSecondGrant) {
  ClaimsWorld world(3);
  world.next_link_fault = [] { return LinkFault::kDuplicate; };
  const std::string id = world.MakeId("aaaaaaaa");
  for (int daemon = 0; daemon < 3; ++daemon) {
    world.Ask(daemon, id);
  }
  world.Advance(kLong);
  EXPECT_EQ(world.grants(id), 1);
  EXPECT_EQ(world.max_answers(), 1);
}

TEST(ClaimServiceTest, AStoppingDaemonFinishesAndSendsAskersElsewhere) {
  ClaimsWorld world(2);
  const std::string id = world.MakeId("aaaaaaaa");
  const std::string other = world.MakeId("bbbbbbbb");
  const int grouping = world.GroupingDaemon(id);
  const auto before = world.Ask(1 - grouping, id);
  world.Advance(base::Milliseconds(3));
  bool did_stop = false;
  world.Stop(grouping, [&did_stop] { did_stop = true; });
  const auto own = world.Ask(grouping, other);
  world.Advance(base::Milliseconds(200));
  EXPECT_EQ(world.result(before).outcome, ClaimOutcome::kGranted);
  EXPECT_EQ(world.result(own).outcome, ClaimOutcome::kRefused);
  EXPECT_TRUE(did_stop);
  const auto after = world.Ask(1 - grouping, other);
  world.Advance(base::Milliseconds(200));
  EXPECT_EQ(world.result(after).outcome, ClaimOutcome::kGranted);
}

TEST(ClaimServiceTest, RefusesIdentifiersOutsideOfTheRetention) {
  ClaimsWorld world(1);
  const auto old =
      world.Ask(0, world.MakeId("aaaaaaaa", kRetentionMilliseconds + 1));
  const auto future = world.Ask(
      0, world.MakeId("aaaaaaaa", -kAllowedClockDifferenceMilliseconds - 1));
  const auto malformed = world.Ask(0, "yesterday");
  world.Advance(kLong);
  EXPECT_EQ(world.result(old).outcome, ClaimOutcome::kExpired);
  EXPECT_EQ(world.result(future).outcome, ClaimOutcome::kExpired);
  EXPECT_EQ(world.result(malformed).outcome, ClaimOutcome::kRefused);
  EXPECT_TRUE(world.store().entries().empty());
}

TEST(ClaimServiceTest, NeverOverwritesAValueThatItCanNotRead) {
  ClaimsWorld world(1);
  const std::string id = world.MakeId("aaaaaaaa");
  const std::string key = BucketKey(id, ClaimsWorld::kStartMilliseconds);
  world.store().Restore({{key, {key, "another format", 900}}});
  const auto question = world.Ask(0, id);
  world.Advance(kLong);
  EXPECT_EQ(world.result(question).outcome, ClaimOutcome::kRefused);
  EXPECT_EQ(world.store().entries().at(key).value, "another format");
}

// The next two tests restore the store from a backup that lacks a claim. Claims
// that a daemon has in memory still apply; docs/design/07-at-most-once.md lists
// the cases that are not covered.

TEST(ClaimServiceTest, AGroupingDaemonPutsLostClaimsBack) {
  ClaimsWorld world(1);
  const std::string id = world.MakeId("aaaaaaaa");
  const auto first = world.Ask(0, id);
  world.Advance(base::Milliseconds(50));
  ASSERT_EQ(world.result(first).outcome, ClaimOutcome::kGranted);
  world.store().Restore({});
  // With four identifiers, at least one has the same key.
  for (int count = 0; count < 40; ++count) {
    world.Ask(0, world.MakeId("abcdefgh" + std::to_string(count), 50));
  }
  world.Advance(kLong);
  EXPECT_GE(world.Counts(0).lost_states, 1);
  const std::string key = BucketKey(id, ClaimsWorld::kStartMilliseconds);
  EXPECT_NE(world.store().entries().at(key).value.find(id), std::string::npos);
}

TEST(ClaimServiceTest, AfterALossOlderIdentifiersAreRefused) {
  ClaimsWorld world(1);
  const std::string witness = world.MakeId("aaaaaaaa");
  world.Ask(0, witness);
  world.Advance(base::Milliseconds(50));
  world.store().Restore({});
  const std::string same_key =
      std::to_string(ClaimsWorld::kStartMilliseconds + 1);
  for (int count = 0; count < 40; ++count) {
    world.Ask(0, same_key + "-abcdefgh" + std::to_string(count));
  }
  world.Advance(kLong);
  ASSERT_GE(world.Counts(0).lost_states, 1);
  // It may have been claimed by a daemon that has forgotten it: not executed
  // again.
  const auto old = world.Ask(0, world.MakeId("bbbbbbbb", 60'000));
  world.Advance(kLong);
  EXPECT_EQ(world.result(old).outcome, ClaimOutcome::kRefused);
  world.Advance(base::Milliseconds(kAllowedClockDifferenceMilliseconds));
  const auto fresh = world.Ask(0, world.MakeId("cccccccc"));
  world.Advance(kLong);
  EXPECT_EQ(world.result(fresh).outcome, ClaimOutcome::kGranted);
}

TEST(ClaimServiceTest, ErasesOnlyWhatEveryDaemonRefuses) {
  ClaimsWorld world(3);
  const std::string id = world.MakeId("aaaaaaaa");
  world.Ask(0, id);
  world.Advance(base::Milliseconds(50));
  ASSERT_EQ(world.store().entries().size(), 1);
  world.Advance(
      base::Milliseconds(kRetentionMilliseconds + kEraseMarginMilliseconds));
  EXPECT_EQ(world.store().entries().size(), 1);
  const auto late = world.Ask(1, id);
  world.Advance(base::Milliseconds(4 * kSliceMilliseconds));
  EXPECT_EQ(world.result(late).outcome, ClaimOutcome::kExpired);
  EXPECT_TRUE(world.store().entries().empty());
}

}  // namespace
}  // namespace medlarspread::claims
