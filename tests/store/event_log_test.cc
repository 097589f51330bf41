// Tests EventLog: all items, changes since a cursor or position, and trimming.

#include "src/store/event_log.h"

#include <algorithm>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include <gtest/gtest.h>

#include "src/base/random.h"

namespace medlarspread::store {
namespace {

// Appends changes before which no other is missing.
void Append(EventLog& log, const std::vector<Event>& events) {
  Position reached = log.position();
  for (const Event& event : events) {
    reached = std::max(reached, event.position());
  }
  log.Append(events, reached);
}

TEST(EventLogTest, KnowsTheLastValueOfEachKey) {
  EventLog log(100);
  Append(log, {{"a", "1", 5}, {"b", "1", 6}, {"a", std::nullopt, 7}});
  const auto everything = log.AllItems();
  ASSERT_EQ(everything.size(), 1U);
  EXPECT_EQ(everything[0].key, "b");
  EXPECT_EQ(log.position(), (Position{0, 7}));
}

TEST(EventLogTest, LogsWithTheSameItemsHaveTheSameDigest) {
  EventLog log(100);
  Append(log, {{"a", "1", 5}, {"b", "1", 6}, {"a", "2", 7}});
  EventLog same(200);
  Append(same, {{"c", "1", 1}, {"b", "1", 6}, {"a", "2", 7}});
  EXPECT_NE(log.digest(), same.digest());
  Append(same, {{"c", std::nullopt, 8}});
  EXPECT_EQ(log.digest(), same.digest());
  Append(same, {{"b", "2", 9}});
  EXPECT_NE(log.digest(), same.digest());
}

TEST(EventLogTest, ReturnsChangesAfterACursor) {
  EventLog log(100);
  Append(log, {{"a", "1", 5}});
  const auto cursor = log.cursor();
  EXPECT_TRUE(log.ChangesAfter(cursor)->empty());
  // A removal that is reported late, with a revision below those reported
  // before.
  Append(log, {{"a", std::nullopt, 4}});
  ASSERT_EQ(log.ChangesAfter(cursor)->size(), 1U);
}

TEST(EventLogTest, CursorsOfAnotherProcessAreUnknown) {
  EventLog log(100);
  Append(log, {{"a", "1", 5}});
  EXPECT_FALSE(log.ChangesAfter(99).has_value());
  EXPECT_FALSE(log.ChangesAfter(log.cursor() + 1).has_value());
}

TEST(EventLogTest, OldChangesAreTrimmed) {
  EventLog log(0);
  for (int revision = 1; revision <= 5'000; ++revision) {
    Append(log, {{"a", std::to_string(revision), revision}});
  }
  EXPECT_FALSE(log.ChangesAfter(1).has_value());
  EXPECT_EQ(log.ChangesAfter(4'990)->size(), 10U);
}

TEST(EventLogTest, ReturnsChangesSinceARevision) {
  EventLog log(100);
  log.DidList({0, 10});
  Append(log, {{"a", "1", 5}, {"b", "1", 9}});
  Append(log, {{"c", "1", 12}, {"a", std::nullopt, 13}, {"b", "2", 14}});
  const auto missing = log.ChangesSince({0, 11});
  ASSERT_TRUE(missing.has_value());
  EXPECT_EQ(*missing,
            (std::vector<Event>{
                {"c", "1", 12}, {"a", std::nullopt, 13}, {"b", "2", 14}}));
  EXPECT_TRUE(log.ChangesSince({0, 14})->empty());
}

// Keys that came and went before the first list are unknown here, but a
// follower may still hold them.
TEST(EventLogTest, RemovalsBeforeTheFirstListAreUnknown) {
  EventLog log(100);
  EXPECT_FALSE(log.ChangesSince({0, 11}).has_value());
  log.DidList({0, 10});
  Append(log, {{"a", "1", 5}});
  EXPECT_FALSE(log.ChangesSince({0, 9}).has_value());
  EXPECT_TRUE(log.ChangesSince({0, 10}).has_value());
  // Another full list also hides keys that came and went before it.
  log.DidList({0, 20});
  EXPECT_FALSE(log.ChangesSince({0, 19}).has_value());
}

TEST(EventLogTest, RewrittenKeyIsNotARemoval) {
  EventLog log(100);
  log.DidList({0, 1});
  Append(log, {{"a", std::nullopt, 3}, {"a", "2", 4}});
  EXPECT_EQ(*log.ChangesSince({0, 2}), (std::vector<Event>{{"a", "2", 4}}));
}

TEST(EventLogTest, OldRemovalsAreTrimmed) {
  EventLog log(0);
  log.DidList({0, 0});
  for (int revision = 1; revision <= 5'000; ++revision) {
    Append(log, {{"k" + std::to_string(revision), std::nullopt, revision}});
  }
  EXPECT_FALSE(log.ChangesSince({0, 500}).has_value());
  EXPECT_EQ(log.ChangesSince({0, 4'990})->size(), 10U);
}

// Guards against answering from a revision that the restored store has assigned
// again, for a different change.
TEST(EventLogTest, PositionOfAnotherEraHasNoChanges) {
  EventLog log(100);
  log.DidList({1, 10});
  Append(log, {{"a", "1", 12, 1}});
  log.DidList({2, 11});
  Append(log, {{"b", "1", 12, 2}});
  EXPECT_EQ(log.position(), (Position{2, 12}));
  EXPECT_FALSE(log.ChangesSince({1, 12}).has_value());
  EXPECT_FALSE(log.ChangesSince({3, 5}).has_value());
  const auto missing = log.ChangesSince({2, 11});
  ASSERT_TRUE(missing.has_value());
  EXPECT_EQ(*missing, (std::vector<Event>{{"b", "1", 12, 2}}));
}

TEST(EventLogTest, PositionAdvancesWithoutAChange) {
  EventLog log(100);
  Append(log, {{"a", "1", 12, 1}});
  log.DidReach({2, 9});
  EXPECT_EQ(log.position(), (Position{2, 9}));
  log.DidReach({1, 99});
  EXPECT_EQ(log.position(), (Position{2, 9}));
}

// Guards against a position that is taken from a later page of a list: a peer
// would take the changes before it, on earlier pages, as known.
TEST(EventLogTest, PositionDoesNotFollowFromTheItems) {
  EventLog log(100);
  log.DidList({0, 10});
  log.Append({{"a", "1", 5}, {"b", "1", 12}}, {0, 10});
  EXPECT_EQ(log.position(), (Position{0, 10}));
  log.Append({{"a", "2", 11}}, {0, 12});
  EXPECT_EQ(log.position(), (Position{0, 12}));
}

// A follower that reads by revision ends up with the same items, whenever it
// asks.
TEST(EventLogTest, ChangesSinceARevisionAreComplete) {
  base::Random random(20261203);
  for (int run = 0; run < 200; ++run) {
    EventLog log(0);
    log.DidList({0, 0});
    std::map<std::string, std::string> follower_items;
    std::int64_t known = 0;
    for (std::int64_t revision = 1; revision <= 60; ++revision) {
      const std::string key = "k" + std::to_string(random.Below(6));
      const bool is_removal = random.Below(3) == 0;
      Append(log, {{key,
                    is_removal ? std::nullopt
                               : std::optional(std::to_string(revision)),
                    revision}});
      if (random.Below(4) != 0) {
        continue;
      }
      const auto missing = log.ChangesSince({0, known});
      ASSERT_TRUE(missing.has_value());
      for (const Event& event : *missing) {
        if (event.value) {
          follower_items[event.key] = *event.value;
        } else {
          follower_items.erase(event.key);
        }
      }
      known = log.position().revision;
      std::map<std::string, std::string> log_items;
      for (const Event& event : log.AllItems()) {
        log_items[event.key] = *event.value;
      }
      ASSERT_EQ(follower_items, log_items)
          << "run " << run << ", revision " << revision;
    }
  }
}

}  // namespace
}  // namespace medlarspread::store
