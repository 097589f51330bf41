// Tests which source is selected while daemons and the store fail and return.

#include "src/relay/source_selector.h"

#include <algorithm>

#include <gtest/gtest.h>

#include "src/base/rendezvous.h"

namespace medlarspread::relay {
namespace {

using base::Milliseconds;

// Two failure domains: n1 with three strong and many weak daemons, s1 with one.
class SourceSelectorTest : public testing::Test {
 protected:
  static constexpr int kWeak = 30;

  SourceSelectorTest() {
    for (int index = 0; index < 3; ++index) {
      Add("strong" + std::to_string(index), "n1", 0.5);
    }
    for (int index = 0; index < kWeak; ++index) {
      Add("weak" + std::to_string(index), "n1", 0.12);
    }
    Add("other", "s1", 0.5);
    blackboard_.membership.Write(view_);
    std::vector<std::string> strong = {"strong0", "strong1", "strong2"};
    ranked_ = base::RankByRendezvous("store-reader/n1", std::move(strong));
  }

  void Add(const std::string& name, const std::string& domain, double share) {
    blackboard::Member& member = view_.members[name];
    member.name = name;
    member.address = name;
    member.failure_domain = domain;
    member.processor_share = share;
  }

  SourceSelector Make(const std::string& name) const {
    return {{name, "n1", {"seed"}}, base::Clock(time_), blackboard_};
  }

  const std::shared_ptr<base::ManualTime> time_ =
      std::make_shared<base::ManualTime>(1'000'000, 0);
  blackboard::Blackboard blackboard_;
  blackboard::MembershipView view_;
  // The strong daemons of n1 in rank order; the first is the store reader.
  std::vector<std::string> ranked_;
};

TEST_F(SourceSelectorTest, ReaderUsesTheStoreAndOthersUseTheReader) {
  EXPECT_EQ(Make(ranked_[0]).Choose(""), kStore);
  EXPECT_TRUE(Make(ranked_[0]).is_reader());
  EXPECT_EQ(Make(ranked_[1]).Choose(""), ranked_[0]);
  EXPECT_EQ(Make("weak7").Choose(""), ranked_[0]);
  EXPECT_FALSE(Make("weak7").is_reader());
}

TEST_F(SourceSelectorTest, WithoutPeersUsesTheStoreThenTheSeeds) {
  blackboard_.membership.Write({});
  SourceSelector choice = Make("strong0");
  EXPECT_EQ(choice.Choose(""), kStore);
  choice.DidFail(kStore);
  choice.DidFail(kStore);
  EXPECT_EQ(choice.Choose(""), "seed");
}

TEST_F(SourceSelectorTest, UsesTheNextRankWhenTheReaderIsDown) {
  SourceSelector choice = Make("weak7");
  choice.DidFail(ranked_[0]);
  EXPECT_EQ(choice.Choose(ranked_[0]), ranked_[1]);
  choice.DidFail(ranked_[1]);
  EXPECT_EQ(choice.Choose(ranked_[0]), "other");
  // A daemon that restarts is back soon.
  time_->Advance(Milliseconds(600));
  EXPECT_EQ(choice.Choose("other"), ranked_[0]);
}

// Guards against load on the store during an outage: when hundreds of followers
// turned to it, each called it once a second, which made about a thousand calls
// in six seconds.
TEST_F(SourceSelectorTest, FollowersDoNotQueryTheStoreDuringAnOutage) {
  SourceSelector choice = Make("weak7");
  std::string current = ranked_[0];
  for (int step = 0; step < 200; ++step) {
    const std::string source = choice.Choose(current);
    ASSERT_NE(source, kStore) << "after " << step;
    if (source == "other") {
      // It reads the store itself, which is unavailable.
      choice.DidFail(source);
    } else {
      choice.DidBecomeStale(source);
    }
    time_->Advance(Milliseconds(100));
  }
  EXPECT_EQ(choice.Choose(current), current);
}

TEST_F(SourceSelectorTest, FollowerFallsBackToTheStoreWhenNoPeerAnswers) {
  SourceSelector choice = Make("weak7");
  // Daemons that restart together are back within two seconds.
  for (int step = 0; step < 19; ++step) {
    const std::string source = choice.Choose("");
    ASSERT_NE(source, kStore) << "after " << step;
    choice.DidFail(source);
    time_->Advance(Milliseconds(100));
  }
  time_->Advance(Milliseconds(100));
  for (const std::string& source :
       {ranked_[0], ranked_[1], std::string("other")}) {
    choice.DidFail(source);
  }
  EXPECT_EQ(choice.Choose(""), kStore);
}

TEST_F(SourceSelectorTest, FirstRanksKeepProbingTheStore) {
  for (const std::string& name : ranked_) {
    SourceSelector choice = Make(name);
    std::string current = name == ranked_[0] ? kStore : ranked_[0];
    int asked_store = 0;
    constexpr int kSteps = 100;
    for (int step = 0; step < kSteps; ++step) {
      const std::string source = choice.Choose(current);
      if (source == kStore) {
        ++asked_store;
        choice.DidFail(source);
      } else if (source == "other") {
        choice.DidFail(source);
      } else {
        choice.DidBecomeStale(source);
      }
      time_->Advance(Milliseconds(100));
    }
    // Within ten seconds, with a backoff that doubles up to four seconds.
    EXPECT_GE(asked_store, 3) << name;
  }
}

TEST_F(SourceSelectorTest, RetriesTheStoreAtOnceAfterOneFailure) {
  SourceSelector choice = Make(ranked_[0]);
  choice.DidFail(kStore);
  EXPECT_EQ(choice.Choose(kStore), kStore);
  EXPECT_EQ(choice.store_failures(), 1);
  choice.DidFail(kStore);
  EXPECT_EQ(choice.Choose(kStore), "other");
  choice.DidAnswer(kStore);
  EXPECT_EQ(choice.store_failures(), 0);
  EXPECT_EQ(choice.Choose("other"), kStore);
}

}  // namespace
}  // namespace medlarspread::relay
