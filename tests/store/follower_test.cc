// Tests Follower with a scripted store and a manual clock.

#include "src/store/follower.h"

#include <optional>

#include <gtest/gtest.h>

namespace medlarspread::store {
namespace {

using base::ErrorCode;
using base::Milliseconds;
using base::Step;

class FollowerTest : public testing::Test {
 protected:
  FollowerTest() {
    EventSource source;
    source.list = [this](const std::string&, const std::string& after,
                         std::function<void(base::Result<Page>)> done) {
      ++lists_;
      list_after_ = after;
      list_ = std::move(done);
    };
    source.watch = [this](const std::string&, std::int64_t cursor,
                          base::Duration,
                          std::function<void(base::Result<Changes>)> done) {
      ++watches_;
      watch_cursor_ = cursor;
      watch_ = std::move(done);
    };
    outages_ = std::make_shared<OutageDetector>(
        OutageDetectorSettings{}, base::Clock(time_), base::Log());
    follower_ = std::make_shared<Follower>(
        FollowerSettings{}, base::Clock(time_),
        std::make_shared<base::Random>(1), base::TaskRunner(scheduler_),
        outages_->Observe(std::move(source)), outages_,
        [this](const Position& position) { listed_at_.push_back(position); },
        [this](const std::vector<Event>& events, const Position& reached) {
          reached_by_change_ = reached;
          for (const Event& event : events) {
            reported_.push_back(event);
            if (event.value) {
              known_[event.key] = *event.value;
            } else {
              known_.erase(event.key);
            }
          }
        },
        [this](const Position& position) { reached_ = position; }, base::Log());
    follower_->Start();
  }

  static Event Write(const std::string& key,
                     const std::string& value,
                     std::int64_t revision) {
    return {key, value, revision};
  }
  static Event Remove(const std::string& key, std::int64_t revision) {
    return {key, std::nullopt, revision};
  }
  static base::Error Failure(ErrorCode code) {
    return base::MakeError(code, Step::kWatchStore, "store", "");
  }

  void AnswerList(std::vector<Event> items,
                  std::int64_t revision,
                  bool is_last = true) {
    std::exchange(list_, nullptr)(
        Page{InEra(std::move(items)), is_last, revision, revision, era_});
  }
  void AnswerStaleList(std::vector<Event> items, bool is_last = true) {
    Page page{InEra(std::move(items)), is_last, 90, 90, era_};
    page.is_stale = true;
    std::exchange(list_, nullptr)(std::move(page));
  }
  void AnswerWatch(std::vector<Event> events, std::int64_t cursor) {
    std::exchange(watch_, nullptr)(
        Changes{InEra(std::move(events)), cursor, {era_, cursor}});
  }
  std::vector<Event> InEra(std::vector<Event> events) const {
    for (Event& event : events) {
      event.era = era_;
    }
    return events;
  }
  void FailWatch(ErrorCode code) {
    std::exchange(watch_, nullptr)(Failure(code));
  }
  void Advance(int milliseconds) {
    scheduler_->Advance(Milliseconds(milliseconds));
  }

  const std::shared_ptr<base::ManualTime> time_ =
      std::make_shared<base::ManualTime>(1'000'000, 0);
  const std::shared_ptr<base::ManualScheduler> scheduler_ =
      std::make_shared<base::ManualScheduler>(time_);
  std::function<void(base::Result<Page>)> list_;
  std::function<void(base::Result<Changes>)> watch_;
  // The era in which the store answers.
  std::int64_t era_ = 1;
  int lists_ = 0;
  int watches_ = 0;
  std::string list_after_;
  std::int64_t watch_cursor_ = 0;
  std::vector<Event> reported_;
  // The positions of full lists.
  std::vector<Position> listed_at_;
  // The position up to which all changes have been reported.
  Position reached_;
  // The same as of the last change.
  Position reached_by_change_;
  std::map<std::string, std::string> known_;
  std::shared_ptr<OutageDetector> outages_;
  std::shared_ptr<Follower> follower_;
};

TEST_F(FollowerTest, ReadsAllPagesThenWatchesFromTheFirst) {
  AnswerList({Write("a", "1", 3)}, 10, false);
  EXPECT_EQ(list_after_, "a");
  AnswerList({Write("b", "2", 12)}, 12);
  EXPECT_EQ(known_.size(), 2U);
  EXPECT_EQ(watch_cursor_, 10);
  // A change at revision 11 may be missing on the first page.
  EXPECT_EQ(reached_by_change_, (Position{1, 10}));
  AnswerWatch({Write("a", "2", 11), Write("b", "2", 12)}, 12);
  EXPECT_EQ(reached_by_change_, (Position{1, 12}));
}

// Guards against a key that is taken for removed, and whose later changes are
// skipped, because a page of a second stale read came from a replica that had
// not applied its creation yet.
TEST_F(FollowerTest, StaleListRemovesNoKey) {
  AnswerStaleList({Write("a", "1", 3), Write("b", "1", 8)});
  FailWatch(ErrorCode::kExpired);
  AnswerStaleList({Write("a", "2", 12)}, false);
  AnswerStaleList({});
  EXPECT_EQ(known_,
            (std::map<std::string, std::string>{{"a", "2"}, {"b", "1"}}));
  FailWatch(ErrorCode::kExpired);
  AnswerList({Write("a", "2", 12), Write("b", "1", 8)}, 12);
  EXPECT_EQ(known_,
            (std::map<std::string, std::string>{{"a", "2"}, {"b", "1"}}));
}

// A stale list says nothing of the position up to which changes and removals
// are known; the changes that complete it do.
TEST_F(FollowerTest, StaleListHasNoPosition) {
  AnswerStaleList({Write("a", "1", 3)});
  EXPECT_TRUE(follower_->is_complete());
  EXPECT_EQ(known_.size(), 1U);
  EXPECT_TRUE(listed_at_.empty());
  EXPECT_EQ(reached_, Position{});
  EXPECT_EQ(reached_by_change_, Position{});
  Changes changes{{{"b", "1", 7, era_}}, 7, {era_, 7}};
  changes.completes_list_since = Position{era_, 3};
  std::exchange(watch_, nullptr)(changes);
  EXPECT_EQ(listed_at_, (std::vector<Position>{{era_, 3}}));
  EXPECT_EQ(reached_, (Position{era_, 7}));
}

TEST_F(FollowerTest, KeyNeverRegresses) {
  AnswerList({Write("a", "new", 5)}, 5);
  AnswerWatch({Write("a", "old", 4)}, 6);
  EXPECT_EQ(known_["a"], "new");
  AnswerWatch({Remove("a", 3)}, 7);
  EXPECT_EQ(known_["a"], "new");
}

TEST_F(FollowerTest, ReportsNoChangeTwice) {
  AnswerList({Write("a", "1", 5)}, 5);
  AnswerWatch({Write("a", "1", 5)}, 6);
  EXPECT_EQ(reported_.size(), 1U);
}

TEST_F(FollowerTest, ExpiredHistoryCausesAFullList) {
  AnswerList({Write("a", "1", 3), Write("b", "1", 4)}, 5);
  FailWatch(ErrorCode::kExpired);
  ASSERT_TRUE(list_);
  AnswerList({Write("b", "2", 8)}, 9);
  EXPECT_FALSE(known_.contains("a"));
  EXPECT_EQ(known_["b"], "2");
}

TEST_F(FollowerTest, FailedWatchIsRetriedAfterABackoff) {
  AnswerList({}, 5);
  FailWatch(ErrorCode::kConnectionLost);
  EXPECT_EQ(watches_, 1);
  Advance(200);
  EXPECT_EQ(watches_, 2);
  EXPECT_EQ(watch_cursor_, 5);
}

TEST_F(FollowerTest, CallsAreFewDuringAnOutage) {
  AnswerList({}, 5);
  for (int step = 0; step < 1'000; ++step) {
    if (watch_) {
      FailWatch(ErrorCode::kUnreachable);
    }
    Advance(10);
  }
  EXPECT_LT(watches_, 22);
  EXPECT_GT(watches_, 8);
}

TEST_F(FollowerTest, RemovalsAreDelayedAfterAnOutage) {
  AnswerList({Write("a", "1", 3), Write("b", "1", 4)}, 5);
  FailWatch(ErrorCode::kUnreachable);
  for (int step = 0; step < 400; ++step) {
    Advance(10);
    if (watch_) {
      FailWatch(ErrorCode::kUnreachable);
    }
  }
  Advance(1'100);
  ASSERT_TRUE(watch_);
  AnswerWatch({Remove("a", 6), Remove("b", 7)}, 7);
  EXPECT_EQ(known_.size(), 2U);
  AnswerWatch({Write("a", "1", 8)}, 8);
  Advance(2'600);
  EXPECT_TRUE(known_.contains("a"));
  EXPECT_FALSE(known_.contains("b"));
}

TEST_F(FollowerTest, RemovalsApplyAtOnceWithoutAnOutage) {
  AnswerList({Write("a", "1", 3)}, 5);
  FailWatch(ErrorCode::kConnectionLost);
  Advance(200);
  AnswerWatch({Remove("a", 6)}, 6);
  EXPECT_FALSE(known_.contains("a"));
}

// Guards against removals that are delayed because a connection to the store
// went silent while the store was up.
TEST_F(FollowerTest, RemovalsApplyAtOnceAfterAWatchWasLost) {
  AnswerList({Write("a", "1", 3), Write("b", "1", 4)}, 5);
  Advance(6'000);
  FailWatch(ErrorCode::kTimeout);
  Advance(200);
  AnswerWatch({Remove("a", 6)}, 6);
  EXPECT_FALSE(known_.contains("a"));
  Advance(6'000);
  FailWatch(ErrorCode::kConnectionLost);
  Advance(200);
  AnswerWatch({Remove("b", 7)}, 7);
  EXPECT_FALSE(known_.contains("b"));
}

// The other side: the watch was lost because the store was unavailable.
TEST_F(FollowerTest, LostWatchIsAnOutageIfANewConnectionFailsToo) {
  AnswerList({Write("a", "1", 3)}, 5);
  Advance(6'000);
  FailWatch(ErrorCode::kTimeout);
  Advance(200);
  FailWatch(ErrorCode::kUnreachable);
  Advance(400);
  AnswerWatch({Remove("a", 6)}, 6);
  EXPECT_TRUE(known_.contains("a"));
  Advance(2'600);
  EXPECT_FALSE(known_.contains("a"));
}

// A rejection because of the call rate shows that the store is up.
TEST_F(FollowerTest, RemovalsApplyAtOnceAfterRejectionsForTheCallRate) {
  AnswerList({Write("a", "1", 3)}, 5);
  for (int step = 0; step < 400; ++step) {
    if (watch_) {
      FailWatch(ErrorCode::kOverloaded);
    }
    Advance(10);
  }
  Advance(1'100);
  AnswerWatch({Remove("a", 6)}, 6);
  EXPECT_FALSE(known_.contains("a"));
}

// Guards against dropping changes because a store that was restored from a
// backup assigns lower revisions than before.
TEST_F(FollowerTest, LowerRevisionIsAppliedAfterARestore) {
  AnswerList({Write("a", "1", 90), Write("b", "1", 95)}, 100);
  FailWatch(ErrorCode::kExpired);
  era_ = 2;
  AnswerList({Write("a", "1", 40)}, 60);
  AnswerWatch({Write("a", "2", 61), Write("b", "2", 62)}, 62);
  EXPECT_EQ(known_["a"], "2");
  EXPECT_EQ(known_["b"], "2");
}

// Guards against keeping a key forever because its write, which the restored
// store has lost, has a higher revision than the new list.
TEST_F(FollowerTest, KeyLostInARestoreIsRemoved) {
  AnswerList({Write("a", "1", 40), Write("b", "1", 95)}, 100);
  FailWatch(ErrorCode::kExpired);
  era_ = 2;
  AnswerList({Write("a", "1", 40)}, 60);
  Advance(2'600);
  EXPECT_TRUE(known_.contains("a"));
  EXPECT_FALSE(known_.contains("b"));
}

// Guards against removing live leaves because the store, which was restored
// within a moment, had lost their entries.
TEST_F(FollowerTest, KeyLostInARestoreMayBeRewrittenInTime) {
  AnswerList({Write("a", "1", 90), Write("b", "1", 95)}, 100);
  FailWatch(ErrorCode::kExpired);
  era_ = 2;
  AnswerList({}, 60);
  EXPECT_EQ(known_.size(), 2U);
  Advance(1'500);
  AnswerWatch({Write("a", "1", 61)}, 61);
  Advance(1'500);
  EXPECT_TRUE(known_.contains("a"));
  EXPECT_FALSE(known_.contains("b"));
}

// Guards against removals that were delayed at the first of two restores and
// reported before the delay of the second one is over.
TEST_F(FollowerTest, SecondRestoreExtendsTheRemovalDelay) {
  AnswerList({Write("a", "1", 90)}, 100);
  FailWatch(ErrorCode::kExpired);
  era_ = 2;
  AnswerList({}, 60);
  Advance(2'000);
  FailWatch(ErrorCode::kExpired);
  era_ = 3;
  AnswerList({}, 50);
  Advance(2'000);
  EXPECT_TRUE(known_.contains("a"));
  Advance(600);
  EXPECT_FALSE(known_.contains("a"));
}

// Guards against removing leaves at once when a daemon learns of the restore
// from a peer and then reads the store itself.
TEST_F(FollowerTest, RestoreReportedByAPeerDelaysRemovals) {
  AnswerList({Write("a", "1", 90)}, 100);
  era_ = 2;
  AnswerWatch({Write("b", "1", 60)}, 101);
  FailWatch(ErrorCode::kExpired);
  AnswerList({Write("b", "1", 60)}, 60);
  EXPECT_TRUE(known_.contains("a"));
  Advance(2'600);
  EXPECT_FALSE(known_.contains("a"));
}

TEST_F(FollowerTest, RestoreWithoutChangesReportsOnlyThePosition) {
  AnswerList({Write("a", "1", 40)}, 60);
  EXPECT_EQ(reported_.size(), 1U);
  EXPECT_EQ(reached_, (Position{1, 60}));
  FailWatch(ErrorCode::kExpired);
  era_ = 2;
  AnswerList({Write("a", "1", 40)}, 55);
  EXPECT_EQ(reported_.size(), 1U);
  EXPECT_EQ(reached_, (Position{2, 55}));
}

TEST_F(FollowerTest, ListOfAnEarlierEraIsIgnored) {
  era_ = 2;
  AnswerList({Write("a", "new", 40)}, 60);
  FailWatch(ErrorCode::kExpired);
  era_ = 1;
  AnswerList({Write("a", "old", 90)}, 100);
  EXPECT_EQ(known_["a"], "new");
  Advance(400);
  era_ = 2;
  ASSERT_TRUE(list_);
  AnswerList({Write("a", "newer", 70)}, 80);
  EXPECT_EQ(known_["a"], "newer");
}

TEST_F(FollowerTest, ListAcrossARestoreStartsOver) {
  AnswerList({Write("a", "1", 3)}, 10, false);
  std::exchange(list_, nullptr)(Failure(ErrorCode::kExpired));
  EXPECT_TRUE(known_.empty());
  Advance(400);
  ASSERT_TRUE(list_);
  EXPECT_EQ(list_after_, "");
}

TEST_F(FollowerTest, MakesNoCallsAfterStop) {
  AnswerList({}, 5);
  follower_->Stop();
  AnswerWatch({Write("a", "1", 6)}, 6);
  Advance(10'000);
  EXPECT_EQ(watches_, 1);
  EXPECT_TRUE(known_.empty());
}

}  // namespace
}  // namespace medlarspread::store
