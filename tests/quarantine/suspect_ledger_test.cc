// Tests what convicts a request, what clears it, and what does neither.

#include "src/quarantine/suspect_ledger.h"

#include <gtest/gtest.h>

namespace medlarspread::quarantine {
namespace {

using base::Milliseconds;
using base::MonotonicTime;

class SuspectLedgerTest : public testing::Test {
 protected:
  static Fingerprint Name(std::uint8_t number) {
    Fingerprint fingerprint;
    fingerprint.bytes[0] = number;
    return fingerprint;
  }

  static MonotonicTime At(int milliseconds) {
    return MonotonicTime{} + Milliseconds(milliseconds);
  }

  // Records a run from `began` to `ended`, both in milliseconds, that ended
  // with its leaf.
  void EndLeaf(const Fingerprint& fingerprint, int began, int ended) {
    contradicted_ = ledger_.DidEndLeaf(
        fingerprint,
        {At(began), At(ended), "leaf-" + std::to_string(++leaves_)}, At(ended));
  }

  SuspectLedger ledger_;
  std::optional<SuspectLedger::Contradiction> contradicted_;
  int leaves_ = 0;
  const Fingerprint request_ = Name(1);
};

TEST_F(SuspectLedgerTest, ThreeRunsInARowConvictAfterTheDeliberation) {
  EXPECT_EQ(ledger_.StandingOf(request_), Standing::kClear);
  EndLeaf(request_, 1'000, 1'010);
  EndLeaf(request_, 1'020, 1'030);
  EXPECT_EQ(ledger_.StandingOf(request_), Standing::kSuspect);
  EndLeaf(request_, 6'000, 6'010);
  EXPECT_EQ(ledger_.StandingOf(request_), Standing::kAccused);
  EXPECT_TRUE(ledger_.ConvictDue(At(6'400)).empty());
  const auto convictions = ledger_.ConvictDue(At(6'410));
  ASSERT_EQ(convictions.size(), 1U);
  EXPECT_EQ(convictions.front().fingerprint, request_);
  EXPECT_EQ(convictions.front().runs.size(), 3U);
  EXPECT_EQ(ledger_.StandingOf(request_), Standing::kConvicted);
  EXPECT_TRUE(ledger_.ConvictDue(At(7'000)).empty()) << "convicted twice";
}

// A power loss in a rack, a new release, or a service whose leaves all end at
// once: this ends all concurrent runs of a frequent request.
TEST_F(SuspectLedgerTest, ManyLeavesAtOnceAreOneRound) {
  for (int copy = 0; copy < 40; ++copy) {
    EndLeaf(request_, 1'000 - copy, 1'050 + copy % 3);
  }
  EXPECT_EQ(ledger_.StandingOf(request_), Standing::kSuspect);
  EXPECT_EQ(ledger_.RoundsOf(request_), 1);
}

// However many ends the first round has, later rounds still count.
TEST_F(SuspectLedgerTest, ALargeRoundLeavesPlaceForTheNext) {
  for (int copy = 0; copy < 100; ++copy) {
    EndLeaf(request_, 1'000, 1'050);
  }
  EndLeaf(request_, 1'060, 1'070);
  EndLeaf(request_, 1'080, 1'090);
  EXPECT_EQ(ledger_.StandingOf(request_), Standing::kAccused);
}

TEST_F(SuspectLedgerTest, ACompletionClears) {
  EndLeaf(request_, 1'000, 1'010);
  EndLeaf(request_, 1'020, 1'030);
  EXPECT_TRUE(ledger_.DidComplete(request_, At(1'040)));
  EXPECT_EQ(ledger_.StandingOf(request_), Standing::kClear);
  EndLeaf(request_, 2'000, 2'010);
  EXPECT_EQ(ledger_.StandingOf(request_), Standing::kSuspect);
}

// A concurrent run at a healthy leaf completes while the request is blocked.
TEST_F(SuspectLedgerTest, ACompletionClearsTheAccused) {
  EndLeaf(request_, 1'000, 1'010);
  EndLeaf(request_, 1'020, 1'030);
  EndLeaf(request_, 1'040, 1'050);
  EXPECT_TRUE(ledger_.DidComplete(request_, At(1'060)));
  EXPECT_EQ(ledger_.StandingOf(request_), Standing::kClear);
  EXPECT_TRUE(ledger_.ConvictDue(At(9'000)).empty());
}

// A run of some seconds was in progress when the request was convicted.
TEST_F(SuspectLedgerTest, ACompletionClearsTheConvicted) {
  ledger_.DidReceiveConviction(request_);
  EXPECT_EQ(ledger_.StandingOf(request_), Standing::kConvicted);
  EXPECT_TRUE(ledger_.DidComplete(request_, At(9'000)));
  EXPECT_EQ(ledger_.StandingOf(request_), Standing::kClear);
}

// Another daemon reports an end late, when this daemon knows of a later
// completion.
TEST_F(SuspectLedgerTest, AnEndBeforeACompletionIsContradicted) {
  EXPECT_FALSE(ledger_.DidComplete(request_, At(1'500)));
  EndLeaf(request_, 1'000, 1'010);
  ASSERT_TRUE(contradicted_);
  EXPECT_EQ(contradicted_->completed, At(1'500));
  EXPECT_EQ(ledger_.StandingOf(request_), Standing::kClear);
  EndLeaf(request_, 1'600, 1'610);
  EXPECT_FALSE(contradicted_);
  EXPECT_EQ(ledger_.StandingOf(request_), Standing::kSuspect);
}

TEST_F(SuspectLedgerTest, TheSameEndHeardThriceCountsOnce) {
  for (int time = 0; time < 3; ++time) {
    (void)ledger_.DidEndLeaf(
        request_, {At(1'000 + time), At(1'000 + time), "leaf"}, At(2'000));
  }
  EXPECT_EQ(ledger_.RoundsOf(request_), 1);
}

// Leaves may restart under their old names.
TEST_F(SuspectLedgerTest, ALeafThatEndsAgainCountsAgain) {
  for (int time = 1; time <= 3; ++time) {
    const MonotonicTime now = At(time * 4'000);
    (void)ledger_.DidEndLeaf(request_, {now - Milliseconds(10), now, "leaf"},
                             now);
  }
  EXPECT_EQ(ledger_.StandingOf(request_), Standing::kAccused);
}

TEST_F(SuspectLedgerTest, EvidenceFades) {
  EndLeaf(request_, 1'000, 1'010);
  EndLeaf(request_, 2'000, 2'010);
  const int later = 2'010 + static_cast<int>(kEvidenceLifetime.count() / 1'000);
  EndLeaf(request_, later + 10, later + 20);
  EXPECT_EQ(ledger_.RoundsOf(request_), 1);
  EXPECT_TRUE(ledger_.ConvictDue(At(3 * later)).empty());
  EXPECT_EQ(ledger_.suspects(), 0U);
}

TEST_F(SuspectLedgerTest, WhatIsLiftedStartsAnew) {
  ledger_.DidReceiveConviction(request_);
  ledger_.Forget(request_);
  EXPECT_EQ(ledger_.StandingOf(request_), Standing::kClear);
}

// Callers that send a million different requests must not exhaust memory: the
// number of suspects is bounded, and nothing that grows is kept for other
// requests.
TEST_F(SuspectLedgerTest, SuspectsAreBounded) {
  for (int number = 0; number < 5'000; ++number) {
    Fingerprint fingerprint;
    fingerprint.bytes[8] = static_cast<std::uint8_t>(number / 256);
    fingerprint.bytes[9] = static_cast<std::uint8_t>(number % 256);
    EndLeaf(fingerprint, number, number + 1);
  }
  EXPECT_LE(ledger_.suspects(), 1'024U);
}

}  // namespace
}  // namespace medlarspread::quarantine
