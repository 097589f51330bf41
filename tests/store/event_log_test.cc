// EventLog: everything, changes since a cursor, and what is forgotten.

#include "src/store/event_log.h"

#include <gtest/gtest.h>

namespace medlarspread::store {
namespace {

TEST(EventLogTest, KnowsTheLastValueOfEachKey) {
  EventLog log(100);
  log.Append({{"a", "1", 5}, {"b", "1", 6}, {"a", std::nullopt, 7}});
  const auto everything = log.Everything();
  ASSERT_EQ(everything.size(), 1U);
  EXPECT_EQ(everything[0].key, "b");
  EXPECT_EQ(log.revision(), 7);
}

TEST(EventLogTest, TellsWhatChangedSinceACursor) {
  EventLog log(100);
  log.Append({{"a", "1", 5}});
  const auto cursor = log.cursor();
  EXPECT_TRUE(log.ChangesAfter(cursor)->empty());
  // Told of late, with a revision that is older than what was read before.
  log.Append({{"a", std::nullopt, 4}});
  ASSERT_EQ(log.ChangesAfter(cursor)->size(), 1U);
}

TEST(EventLogTest, CursorsOfAnotherProcessAreUnknown) {
  EventLog log(100);
  log.Append({{"a", "1", 5}});
  EXPECT_FALSE(log.ChangesAfter(99).has_value());
  EXPECT_FALSE(log.ChangesAfter(log.cursor() + 1).has_value());
}

TEST(EventLogTest, OldChangesAreForgotten) {
  EventLog log(0);
  for (int revision = 1; revision <= 5'000; ++revision) {
    log.Append({{"a", std::to_string(revision), revision}});
  }
  EXPECT_FALSE(log.ChangesAfter(1).has_value());
  EXPECT_EQ(log.ChangesAfter(4'990)->size(), 10U);
}

}  // namespace
}  // namespace medlarspread::store
