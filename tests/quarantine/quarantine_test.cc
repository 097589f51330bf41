// Tests one daemon's quarantine with fake ports: from lost connections to
// verdicts and reports.

#include "src/quarantine/quarantine.h"

#include <utility>
#include <vector>

#include <gtest/gtest.h>

namespace medlarspread::quarantine {
namespace {

using base::Milliseconds;
using blackboard::QuarantineEntry;
using blackboard::QuarantineState;
using http1::PortState;

class QuarantineTest : public testing::Test {
 protected:
  static constexpr std::size_t kMost = 6;

  QuarantineTest() { request_.bytes[0] = 1; }

  // Runs the request for 10 ms until its connection breaks; a probe of the
  // leaf's port then returns `state`.
  void Lose(PortState state) {
    blackboard::Upstream leaf;
    leaf.name = "leaf-" + std::to_string(++leaves_);
    leaf.address = "127.0.0.1:1";
    const base::MonotonicTime sent = clock_.Now();
    time_->Advance(Milliseconds(10));
    quarantine_->DidLose(request_, leaf, sent);
    for (const auto& done : std::exchange(checks_, {})) {
      done(state);
    }
    time_->Advance(Milliseconds(10));
  }

  void SetStored(QuarantineState state) {
    blackboard::QuarantineView view;
    view.entries[ToText(request_)] = {state, 0, ""};
    blackboard_.quarantine.Write(view);
  }

  void Convict() {
    for (int round = 0; round < kRoundsToConvict; ++round) {
      Lose(PortState::kRefused);
    }
    time_->Advance(kConvictionDelay);
    (void)quarantine_->TakeReports(kMost);
  }

  Fingerprint request_;
  const std::shared_ptr<base::ManualTime> time_ =
      std::make_shared<base::ManualTime>(1'000'000, 0);
  const base::Clock clock_{time_};
  blackboard::Blackboard blackboard_;
  std::vector<std::function<void(PortState)>> checks_;
  std::vector<QuarantineEntry> recorded_;
  std::vector<QuarantineEntry> recorded_if_missing_;
  int leaves_ = 0;
  int ended_ = 0;
  int convicted_ = 0;
  const std::shared_ptr<Quarantine> quarantine_ = std::make_shared<Quarantine>(
      clock_,
      std::make_shared<base::Random>(1),
      blackboard_,
      QuarantinePorts{[this](const blackboard::Upstream&,
                             const std::function<void(PortState)>& done) {
                        checks_.push_back(done);
                      },
                      [this](const Fingerprint&, const QuarantineEntry& entry) {
                        recorded_.push_back(entry);
                      },
                      [this](const Fingerprint&, const QuarantineEntry& entry) {
                        recorded_if_missing_.push_back(entry);
                      },
                      [] {}, [this] { ++ended_; }, [this] { ++convicted_; }},
      base::Log());
};

TEST_F(QuarantineTest, LeavesThatEndInARowConvict) {
  Convict();
  EXPECT_EQ(quarantine_->StandingOf(request_), Standing::kConvicted);
  EXPECT_EQ(ended_, kRoundsToConvict);
  EXPECT_EQ(convicted_, 1);
  ASSERT_EQ(recorded_.size(), 1U);
  EXPECT_EQ(recorded_.front().state, QuarantineState::kConvicted);
}

// A reset, a lost answer, a broken link or a leaf that lost power: no process
// ended because of the request.
TEST_F(QuarantineTest, AConnectionThatEndsIsNoProcessThatEnded) {
  for (int round = 0; round < 20; ++round) {
    Lose(PortState::kListening);
    Lose(PortState::kSilent);
  }
  EXPECT_EQ(quarantine_->StandingOf(request_), Standing::kClear);
  EXPECT_EQ(ended_, 0);
}

TEST_F(QuarantineTest, OneCheckServesAllThatWereLostWithALeaf) {
  blackboard::Upstream leaf;
  leaf.name = "leaf";
  Fingerprint other;
  other.bytes[0] = 2;
  quarantine_->DidLose(request_, leaf, clock_.Now());
  quarantine_->DidLose(other, leaf, clock_.Now());
  ASSERT_EQ(checks_.size(), 1U);
  checks_.front()(PortState::kRefused);
  EXPECT_EQ(quarantine_->StandingOf(request_), Standing::kSuspect);
  EXPECT_EQ(quarantine_->StandingOf(other), Standing::kSuspect);
  EXPECT_EQ(ended_, 1);
}

TEST_F(QuarantineTest, EachReportIsToldThreeTimes) {
  Lose(PortState::kRefused);
  for (int time = 0; time < 3; ++time) {
    EXPECT_EQ(quarantine_->TakeReports(kMost).size(), 1U) << time;
  }
  EXPECT_TRUE(quarantine_->TakeReports(kMost).empty());
}

TEST_F(QuarantineTest, WhatIsHeardCountsLikeItsOwn) {
  Lose(PortState::kRefused);
  Lose(PortState::kRefused);
  time_->Advance(Milliseconds(30));
  const base::MonotonicTime now = clock_.Now();
  quarantine_->DidHear({request_, RunFinding::kLeafEnded, now,
                        now + Milliseconds(5), "elsewhere"});
  EXPECT_EQ(quarantine_->StandingOf(request_), Standing::kAccused);
  EXPECT_GT(quarantine_->RetryAfter(request_), base::Duration{});
  EXPECT_LE(quarantine_->RetryAfter(request_), kConvictionDelay);
  quarantine_->DidHear({request_, RunFinding::kCompleted, now + Milliseconds(9),
                        now + Milliseconds(9), ""});
  EXPECT_EQ(quarantine_->StandingOf(request_), Standing::kClear);
}

// A daemon that has seen the request complete reports this to the daemon that
// suspects it.
TEST_F(QuarantineTest, AnEndThatACompletionContradictsIsAnswered) {
  const base::MonotonicTime began = clock_.Now();
  time_->Advance(Milliseconds(50));
  quarantine_->DidComplete(request_);
  EXPECT_TRUE(quarantine_->TakeReports(kMost).empty());
  quarantine_->DidHear({request_, RunFinding::kLeafEnded, began,
                        began + Milliseconds(5), "elsewhere"});
  const auto reports = quarantine_->TakeReports(kMost);
  ASSERT_EQ(reports.size(), 1U);
  EXPECT_EQ(reports.front().finding, RunFinding::kCompleted);
}

// Covers a daemon that has just started or was disconnected.
TEST_F(QuarantineTest, TheStoresVerdictBinds) {
  SetStored(QuarantineState::kConvicted);
  EXPECT_EQ(quarantine_->StandingOf(request_), Standing::kConvicted);
}

TEST_F(QuarantineTest, AnOperatorsWordGoesBeforeAllEvidence) {
  Convict();
  SetStored(QuarantineState::kLifted);
  EXPECT_EQ(quarantine_->StandingOf(request_), Standing::kClear);
  recorded_.clear();
  Convict();
  EXPECT_EQ(quarantine_->StandingOf(request_), Standing::kClear);
  EXPECT_TRUE(recorded_.empty());
}

TEST_F(QuarantineTest, ARunThatCompletesAfterTheVerdictClearsTheStoreToo) {
  SetStored(QuarantineState::kConvicted);
  quarantine_->DidComplete(request_);
  ASSERT_EQ(recorded_.size(), 1U);
  EXPECT_EQ(recorded_.front().state, QuarantineState::kCleared);
}

// Only the daemon that rendezvous hashing selects may retry the request, once,
// after a minute.
TEST_F(QuarantineTest, OneRetrialIsAllowed) {
  blackboard::MembershipView members;
  members.self = "a";
  members.members["a"].name = "a";
  blackboard_.membership.Write(members);
  SetStored(QuarantineState::kConvicted);
  EXPECT_FALSE(quarantine_->TakeRetrial(request_));
  time_->Advance(Milliseconds(59'000));
  EXPECT_FALSE(quarantine_->TakeRetrial(request_));
  time_->Advance(Milliseconds(2'000));
  EXPECT_TRUE(quarantine_->TakeRetrial(request_));
  ASSERT_EQ(recorded_.size(), 1U);
  EXPECT_EQ(recorded_.front().state, QuarantineState::kRetried);
  EXPECT_FALSE(quarantine_->TakeRetrial(request_));
  SetStored(QuarantineState::kRetried);
  time_->Advance(Milliseconds(600'000));
  EXPECT_FALSE(quarantine_->TakeRetrial(request_));
  EXPECT_EQ(quarantine_->StandingOf(request_), Standing::kConvicted);
  quarantine_->DidComplete(request_);
  EXPECT_EQ(recorded_.back().state, QuarantineState::kCleared);
}

TEST_F(QuarantineTest, OtherDaemonsAllowNoRetrial) {
  blackboard::MembershipView members;
  members.self = "nobody";
  members.members["a"].name = "a";
  blackboard_.membership.Write(members);
  SetStored(QuarantineState::kConvicted);
  EXPECT_FALSE(quarantine_->TakeRetrial(request_));
  time_->Advance(Milliseconds(120'000));
  EXPECT_FALSE(quarantine_->TakeRetrial(request_));
}

// Leaves that ended at the same moment, reported by daemons of which one is
// farther away, must count as one round.
TEST_F(QuarantineTest, TheWayOfADatagramMakesNoRound) {
  const base::MonotonicTime now = clock_.Now();
  for (std::int64_t hop = 0; hop < 4; ++hop) {
    quarantine_->DidHear(
        {request_, RunFinding::kLeafEnded, now + Milliseconds(4 * hop),
         now + Milliseconds(4 * hop + 2), "leaf-" + std::to_string(hop)});
  }
  EXPECT_EQ(quarantine_->StandingOf(request_), Standing::kSuspect);
}

// While the store is unreachable, daemons that start learn the verdict from the
// others.
TEST_F(QuarantineTest, AVerdictIsToldAgainUntilTheStoreHasIt) {
  Convict();
  const auto count_told = [this] {
    int told = 0;
    for (int round = 0; round < 50; ++round) {
      time_->Advance(Milliseconds(100));
      told += static_cast<int>(quarantine_->TakeReports(kMost).size());
    }
    return told;
  };
  EXPECT_GE(count_told(), 10);
  SetStored(QuarantineState::kConvicted);
  (void)count_told();
  EXPECT_EQ(count_told(), 0);
  EXPECT_EQ(quarantine_->StandingOf(request_), Standing::kConvicted);
}

TEST_F(QuarantineTest, AVerdictThatIsHeardIsWrittenByWhoeverFindsItMissing) {
  const base::MonotonicTime now = clock_.Now();
  for (int time = 0; time < 3; ++time) {
    quarantine_->DidHear({request_, RunFinding::kConvicted, now, now, ""});
  }
  EXPECT_EQ(quarantine_->StandingOf(request_), Standing::kConvicted);
  EXPECT_TRUE(recorded_.empty());
  EXPECT_EQ(recorded_if_missing_.size(), 1U);
}

}  // namespace
}  // namespace medlarspread::quarantine
