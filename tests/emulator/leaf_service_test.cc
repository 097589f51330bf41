// Tests of the emulated leaf: slots, queue, deadlines, cancellation, states,
// faults and the run log. Uses a manual clock.

#include <optional>

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include "emulator/leaf/leaf_service.h"
#include "src/base/task_runner.h"

namespace medlarspread::emulator {
namespace {

using testing::HasSubstr;

class LeafServiceTest : public testing::Test {
 protected:
  using Reply = std::shared_ptr<std::optional<http::Response>>;

  static LeafSettings MakeSettings() {
    LeafSettings settings;
    settings.slots = 1;
    settings.queue_limit = 1;
    settings.holdings = ParseHoldings("1:1:0-100").value();
    return settings;
  }

  Reply Send(const std::string& method,
             const std::string& path,
             const std::string& body) {
    auto reply = std::make_shared<std::optional<http::Response>>();
    http::Request request;
    request.method = method;
    request.path = path;
    request.body = body;
    service_->DidReceive(
        request, [reply](http::Response response) { *reply = response; });
    scheduler_->RunReady();
    return reply;
  }

  Reply Query(const std::string& attempt, int version, int deadline_ms) {
    return Send("POST", "/v1/query",
                R"({"attempt_id":")" + attempt +
                    R"(","request_id":"r1","collection":"main","class":"c",)"
                    R"("layout_version":1,"low":0,"high":100,"query":{},)"
                    R"("index_version":)" +
                    std::to_string(version) + R"(,"deadline_ms":)" +
                    std::to_string(deadline_ms) + "}");
  }

  std::string Runs() { return (*Send("GET", "/control/runs", ""))->body; }

  std::shared_ptr<base::ManualTime> time_ =
      std::make_shared<base::ManualTime>(0, 0);
  std::shared_ptr<base::ManualScheduler> scheduler_ =
      std::make_shared<base::ManualScheduler>(time_);
  std::shared_ptr<LeafService> service_ =
      std::make_shared<LeafService>(MakeSettings(),
                                    base::Clock(time_),
                                    base::TaskRunner(scheduler_));
};

TEST_F(LeafServiceTest, HonoursSlotsQueueAndService) {
  const Reply first = Query("a1", 1, 10000);
  const Reply second = Query("a2", 1, 10000);
  const Reply third = Query("a3", 1, 10000);
  ASSERT_TRUE(*third);
  EXPECT_EQ((*third)->status, http::kServiceUnavailable);
  EXPECT_THAT((*third)->body, HasSubstr(R"("error":"shed","ran":false)"));
  EXPECT_THAT((*third)->body, HasSubstr("retry_after_ms"));
  EXPECT_FALSE(*first);
  scheduler_->Advance(base::Milliseconds(1000));
  ASSERT_TRUE(*first && *second);
  EXPECT_THAT((*second)->body, HasSubstr(R"("attempt_id":"a2")"));
  EXPECT_THAT(Runs(), HasSubstr(R"("started":2)"));
}

TEST_F(LeafServiceTest, EndsWorkAtDeadlineAndOnCancel) {
  Send("PUT", "/control", R"({"slow_factor":1000})");
  const Reply running = Query("a1", 1, 100);
  const Reply queued = Query("a2", 1, 50);
  scheduler_->Advance(base::Milliseconds(60));
  ASSERT_TRUE(*queued);
  EXPECT_EQ((*queued)->status, http::kGatewayTimeout);
  EXPECT_THAT((*queued)->body, HasSubstr(R"("ran":false)"));
  EXPECT_FALSE(*running);
  const Reply cancel = Send("POST", "/v1/cancel", R"({"attempt_id":"a1"})");
  scheduler_->RunReady();
  EXPECT_THAT((*cancel)->body, HasSubstr(R"("known":true)"));
  ASSERT_TRUE(*running);
  EXPECT_THAT((*running)->body, HasSubstr(R"("ran":true)"));
}

TEST_F(LeafServiceTest, RefusesWrongSnapshotAndDraining) {
  const Reply wrong = Query("a1", 2, 1000);
  ASSERT_TRUE(*wrong);
  EXPECT_EQ((*wrong)->status, http::kConflict);
  EXPECT_THAT((*wrong)->body, HasSubstr(R"("holdings":[{)"));
  Send("PUT", "/control", R"({"state":"draining","health_lag_ms":500})");
  const Reply refused = Query("a2", 1, 1000);
  ASSERT_TRUE(*refused);
  EXPECT_THAT((*refused)->body, HasSubstr(R"("error":"draining")"));
  EXPECT_THAT((*Send("GET", "/v1/health", ""))->body, HasSubstr("serving"));
  EXPECT_THAT(Runs(), HasSubstr(R"("arrived_while_draining":1)"));
  scheduler_->Advance(base::Milliseconds(500));
  EXPECT_THAT((*Send("GET", "/v1/health", ""))->body, HasSubstr("draining"));
}

TEST_F(LeafServiceTest, GivesWrongReplies) {
  const auto body_under = [this](const std::string& fault) {
    Send("PUT", "/control", R"({"faults":{")" + fault + R"(":1}})");
    const Reply reply = Query("a-" + fault, 1, 1000);
    scheduler_->Advance(base::Milliseconds(1000));
    return *reply ? (*reply)->body : "no reply";
  };
  EXPECT_THAT(body_under("crossed"), HasSubstr("a-crossed-other"));
  EXPECT_EQ(body_under("empty"), "");
  EXPECT_THAT(body_under("truncated"), HasSubstr(R"("count":1)"));
  EXPECT_THAT(body_under("truncated"), HasSubstr(R"("items":[])"));
  EXPECT_THAT(body_under("wrong_range"), HasSubstr(R"("low":100)"));
  EXPECT_THAT(body_under("wrong_version"), HasSubstr(R"("index_version":2)"));
  EXPECT_THAT(body_under("duplicated"), HasSubstr("}{"));
  EXPECT_EQ(body_under("lost"), "no reply");
  EXPECT_THAT(body_under("none"), HasSubstr(R"("attempt_id":"a-none")"));
  EXPECT_THAT(body_under("crossed"), HasSubstr(R"("attempt_id":"a-none")"));
}

TEST(ParseHoldingsTest, RejectsWhatIsNoRange) {
  EXPECT_EQ(ParseHoldings("3:2:0-10,4:2:10-65536").value().size(), 2U);
  EXPECT_FALSE(ParseHoldings("3:2:10-10").is_ok());
  EXPECT_FALSE(ParseHoldings("3:2").is_ok());
}

}  // namespace
}  // namespace medlarspread::emulator
