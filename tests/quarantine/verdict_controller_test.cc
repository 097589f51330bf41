// Tests verdicts with a store that is reachable, unreachable, or written by
// others.

#include "src/quarantine/verdict_controller.h"

#include <utility>
#include <vector>

#include <gtest/gtest.h>

#include "src/quarantine/verdict_entry.h"

namespace medlarspread::quarantine {
namespace {

using base::Milliseconds;
using blackboard::QuarantineEntry;
using blackboard::QuarantineState;

class VerdictControllerTest : public testing::Test {
 protected:
  VerdictControllerTest() { request_.bytes[0] = 1; }

  void DidChange(const std::string& value) {
    controller_->DidChange(ToText(request_), value);
  }

  std::optional<QuarantineState> Seen() const {
    const auto view = blackboard_.quarantine.Read();
    const auto row = view->entries.find(ToText(request_));
    return row == view->entries.end() ? std::nullopt
                                      : std::optional(row->second.state);
  }

  const QuarantineEntry convicted_{QuarantineState::kConvicted, 17, "leaf-1"};
  Fingerprint request_;
  const std::shared_ptr<base::ManualTime> time_ =
      std::make_shared<base::ManualTime>(1'000'000, 0);
  const std::shared_ptr<base::ManualScheduler> scheduler_ =
      std::make_shared<base::ManualScheduler>(time_);
  blackboard::Blackboard blackboard_;
  bool is_away_ = false;
  std::vector<std::pair<std::string, std::string>> written_;
  const std::shared_ptr<VerdictController> controller_ =
      std::make_shared<VerdictController>(
          base::TaskRunner(scheduler_),
          std::make_shared<base::Random>(1),
          [this](const std::string& key,
                 const std::string& value,
                 const std::function<void(base::Status)>& done) {
            if (is_away_) {
              done(base::MakeError(base::ErrorCode::kTimeout,
                                   base::Step::kWriteStore, "", ""));
              return;
            }
            written_.emplace_back(key, value);
            done(base::Done{});
          },
          blackboard_,
          base::Log());
};

TEST_F(VerdictControllerTest, WritesOnce) {
  controller_->Record(request_, convicted_);
  scheduler_->Advance(Milliseconds(60'000));
  ASSERT_EQ(written_.size(), 1U);
  EXPECT_EQ(written_.front().first, "quarantine/" + ToText(request_));
  EXPECT_EQ(DecodeVerdict(written_.front().second), convicted_);
}

TEST_F(VerdictControllerTest, WritesOnceTheStoreIsBack) {
  is_away_ = true;
  controller_->Record(request_, convicted_);
  scheduler_->Advance(Milliseconds(20'000));
  is_away_ = false;
  scheduler_->Advance(Milliseconds(1'100));
  EXPECT_EQ(written_.size(), 1U);
}

TEST_F(VerdictControllerTest, WritesWhatAnotherDaemonFoundOnlyIfItIsMissing) {
  controller_->RecordIfMissing(request_, convicted_);
  DidChange(EncodeVerdict(convicted_));
  scheduler_->Advance(Milliseconds(60'000));
  EXPECT_TRUE(written_.empty());
  Fingerprint other;
  controller_->RecordIfMissing(other, convicted_);
  scheduler_->Advance(Milliseconds(60'000));
  EXPECT_EQ(written_.size(), 1U);
}

TEST_F(VerdictControllerTest, AnOperatorNeedsOneWord) {
  DidChange(EncodeVerdict(convicted_));
  EXPECT_EQ(Seen(), QuarantineState::kConvicted);
  DidChange("lifted");
  EXPECT_EQ(Seen(), QuarantineState::kLifted);
}

TEST_F(VerdictControllerTest,
       AVerdictThatIsStillToBeWrittenGivesWayToOperators) {
  is_away_ = true;
  controller_->Record(request_, convicted_);
  DidChange("lifted");
  is_away_ = false;
  scheduler_->Advance(Milliseconds(60'000));
  EXPECT_TRUE(written_.empty());
}

TEST_F(VerdictControllerTest, WhatCantBeReadChangesNothing) {
  DidChange(EncodeVerdict(convicted_));
  DidChange("\x01\x02");
  DidChange("");
  EXPECT_EQ(Seen(), QuarantineState::kConvicted);
  controller_->DidChange("no fingerprint", "convicted 1 x");
  EXPECT_EQ(blackboard_.quarantine.Read()->entries.size(), 1U);
}

// Otherwise a request would crash leaves again because the restored store has
// lost its verdict.
TEST_F(VerdictControllerTest, WhatARestoreLostIsKeptAndWrittenAgain) {
  DidChange(EncodeVerdict(convicted_));
  controller_->DidRestoreStore();
  controller_->DidChange(ToText(request_), std::nullopt);
  EXPECT_EQ(Seen(), QuarantineState::kConvicted);
  scheduler_->Advance(Milliseconds(6'000));
  ASSERT_EQ(written_.size(), 1U);
  EXPECT_EQ(DecodeVerdict(written_.front().second), convicted_);
}

TEST_F(VerdictControllerTest, WhatAnotherDaemonWroteAgainIsNotWrittenTwice) {
  DidChange(EncodeVerdict(convicted_));
  controller_->DidRestoreStore();
  controller_->DidChange(ToText(request_), std::nullopt);
  DidChange(EncodeVerdict(convicted_));
  scheduler_->Advance(Milliseconds(60'000));
  EXPECT_TRUE(written_.empty());
  EXPECT_EQ(Seen(), QuarantineState::kConvicted);
}

TEST_F(VerdictControllerTest, ALiftThatARestoreLostHoldsAndIsWrittenAgain) {
  DidChange(EncodeVerdict(convicted_));
  DidChange("lifted");
  controller_->DidRestoreStore();
  DidChange(EncodeVerdict(convicted_));
  EXPECT_EQ(Seen(), QuarantineState::kLifted);
  scheduler_->Advance(Milliseconds(6'000));
  ASSERT_EQ(written_.size(), 1U);
  EXPECT_EQ(DecodeVerdict(written_.front().second)->state,
            QuarantineState::kLifted);
}

// The store accepted the write, and lost it in a restore before it sent the
// event.
TEST_F(VerdictControllerTest, AnAcknowledgedWriteThatARestoreLostIsMadeAgain) {
  controller_->Record(request_, convicted_);
  ASSERT_EQ(written_.size(), 1U);
  controller_->DidRestoreStore();
  scheduler_->Advance(Milliseconds(10'000));
  EXPECT_EQ(written_.size(), 2U);
}

TEST_F(VerdictControllerTest, WhatIsRemovedIsForgotten) {
  DidChange(EncodeVerdict(convicted_));
  controller_->DidChange(ToText(request_), std::nullopt);
  EXPECT_EQ(Seen(), std::nullopt);
}

}  // namespace
}  // namespace medlarspread::quarantine
