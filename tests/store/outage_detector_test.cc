// OutageDetector with calls that are answered, rejected or lost.

#include "src/store/outage_detector.h"

#include <functional>
#include <memory>

#include <gtest/gtest.h>

namespace medlarspread::store {
namespace {

using base::ErrorCode;
using base::Milliseconds;

class OutageDetectorTest : public testing::Test {
 protected:
  OutageDetectorTest() {
    EventSource source;
    source.keep_lease = [this](std::int64_t,
                               std::function<void(base::Status)> done) {
      calls_.push_back(std::move(done));
    };
    source.watch = [this](const std::string&, std::int64_t, base::Duration,
                          std::function<void(base::Result<Changes>)> done) {
      watch_ = std::move(done);
    };
    source_ = detector_->Observe(std::move(source));
  }

  // Begins a call and returns the function that ends it.
  std::function<void(base::Status)> Begin() {
    source_.keep_lease(1, [](const base::Status&) {});
    return calls_.back();
  }
  void Answer() { Begin()(base::Done{}); }
  void Fail(ErrorCode code) { Begin()(Failure(code)); }
  static base::Error Failure(ErrorCode code) {
    return base::MakeError(code, base::Step::kReadStore, "store", "");
  }
  void Advance(int milliseconds) { time_->Advance(Milliseconds(milliseconds)); }
  bool has_seen_outage() const {
    return detector_->last_outage_end().has_value();
  }

  const std::shared_ptr<base::ManualTime> time_ =
      std::make_shared<base::ManualTime>(1'000'000, 0);
  const std::shared_ptr<OutageDetector> detector_ =
      std::make_shared<OutageDetector>(OutageDetectorSettings{},
                                       base::Clock(time_),
                                       base::Log());
  std::vector<std::function<void(base::Status)>> calls_;
  std::function<void(base::Result<Changes>)> watch_;
  EventSource source_;
};

TEST_F(OutageDetectorTest, ALostConnectionIsNoOutage) {
  for (const ErrorCode code :
       {ErrorCode::kTimeout, ErrorCode::kConnectionLost}) {
    Answer();
    Advance(6'000);
    Fail(code);
    Answer();
    EXPECT_FALSE(has_seen_outage());
  }
}

TEST_F(OutageDetectorTest, ARejectionForTheCallRateIsNoOutage) {
  Answer();
  for (int call = 0; call < 5; ++call) {
    Advance(1'000);
    Fail(ErrorCode::kOverloaded);
  }
  Answer();
  EXPECT_FALSE(has_seen_outage());
}

TEST_F(OutageDetectorTest, AnOutageEndsWithTheFirstAnswer) {
  for (const ErrorCode code :
       {ErrorCode::kUnreachable, ErrorCode::kUnavailable}) {
    Answer();
    Advance(1'000);
    Fail(code);
    Advance(1'500);
    Answer();
    EXPECT_EQ(detector_->last_outage_end(), base::Clock(time_).Now());
    Advance(10'000);
  }
}

TEST_F(OutageDetectorTest, NoEntriesExpireInAShortOutage) {
  Answer();
  Advance(1'000);
  Fail(ErrorCode::kUnreachable);
  Advance(900);
  Answer();
  EXPECT_FALSE(has_seen_outage());
}

TEST_F(OutageDetectorTest, PeersKnowThatTheStoreWasUp) {
  Answer();
  Advance(1'000);
  Fail(ErrorCode::kUnreachable);
  Advance(500);
  detector_->DidSeeUp(base::Clock(time_).Now());
  Advance(19'000);
  detector_->DidSeeUp(base::Clock(time_).Now() - Milliseconds(200));
  Answer();
  EXPECT_FALSE(has_seen_outage());
}

TEST_F(OutageDetectorTest, APeerThatLostTheStoreEndsNoOutage) {
  Answer();
  Advance(2'500);
  Fail(ErrorCode::kUnreachable);
  detector_->DidSeeUp(base::Clock(time_).Now() - Milliseconds(2'000));
  Advance(1'000);
  EXPECT_FALSE(has_seen_outage());
  Answer();
  EXPECT_TRUE(has_seen_outage());
}

// The calls after a failure use new connections.
TEST_F(OutageDetectorTest, APendingCallOnANewConnectionShowsAnOutage) {
  Answer();
  Advance(1'800);
  Fail(ErrorCode::kTimeout);
  (void)Begin();
  Advance(400);
  Answer();
  EXPECT_TRUE(has_seen_outage());
}

TEST_F(OutageDetectorTest, ACallThatFailsAfterAnAnswerShowsAnOutage) {
  Answer();
  Advance(1'000);
  const auto end = Begin();
  Advance(1'200);
  Answer();
  EXPECT_FALSE(has_seen_outage());
  end(Failure(ErrorCode::kUnreachable));
  EXPECT_TRUE(has_seen_outage());
}

TEST_F(OutageDetectorTest, ALateAnswerShowsAnOutageButNotThatOfAWatch) {
  Answer();
  source_.watch("", 0, Milliseconds(5'000), [](const auto&) {});
  Advance(5'000);
  watch_(Changes{});
  EXPECT_FALSE(has_seen_outage());
  Advance(1'500);
  const auto end = Begin();
  Advance(800);
  end(base::Done{});
  EXPECT_TRUE(has_seen_outage());
}

}  // namespace
}  // namespace medlarspread::store
