// The interface for callers: invalid requests name the invalid field and are
// not submitted; each kind of answer is rendered as specified.

#include <string>
#include <vector>

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include "src/caller_api/caller_api.h"

namespace medlarspread::caller_api {
namespace {

using testing::HasSubstr;

constexpr const char* kValidRequest =
    R"({"request_id":"1764691200000-4f2aB9c0","class":"counter-lookup",)"
    R"("deadline_ms":500,"idempotent":true,"query":{"any":[1,"x"]}})";

class CallerApiTest : public testing::Test {
 protected:
  CallerApiTest() {
    blackboard_.lifecycle.Write(
        {.state = blackboard::LifecycleState::kReady, .reason = ""});
    blackboard::TargetsView targets;
    targets.revision = 1;
    targets.classes["counter-lookup"].name = "counter-lookup";
    blackboard_.targets.Write(targets);
  }

  http::Response Send(const std::string& method,
                      const std::string& path,
                      const std::string& body) {
    http::Request request;
    request.method = method;
    request.path = path;
    request.body = body;
    std::vector<http::Response> responses;
    api_.Handle(request, [&responses](http::Response response) {
      responses.push_back(std::move(response));
    });
    EXPECT_EQ(responses.size(), 1U);
    return responses.empty() ? http::Response{} : responses.front();
  }

  http::Response SendQuery(const std::string& body) {
    return Send("POST", "/v1/query", body);
  }

  // kValidRequest with `from` replaced by `to`.
  static std::string Replaced(const std::string& from, const std::string& to) {
    std::string body = kValidRequest;
    const auto place = body.find(from);
    EXPECT_NE(place, std::string::npos) << from;
    return body.replace(place, from.size(), to);
  }

  void ExpectInvalid(const std::string& body, const std::string& field) {
    const http::Response response = SendQuery(body);
    EXPECT_EQ(response.status, http::kBadRequest) << body;
    EXPECT_THAT(response.body, HasSubstr(R"("field":")" + field + "\""));
    EXPECT_TRUE(submitted_.empty()) << body;
  }

  blackboard::Blackboard blackboard_;
  std::vector<query::CallerRequest> submitted_;
  query::CallerAnswer answer_ = query::Answered{"1764691200000-4f2aB9c0",
                                                {7, 3},
                                                {.share = 1.0,
                                                 .shards_answered = 2,
                                                 .shards_total = 2,
                                                 .missing = {},
                                                 .is_partial = false},
                                                base::Milliseconds(12),
                                                R"([{"a":1},2])"};
  CallerApi api_{{.max_requests = 2},
                 blackboard_,
                 [this](query::CallerRequest request,
                        const query::AnswerCallback& did_answer) {
                   submitted_.push_back(std::move(request));
                   did_answer(answer_);
                 }};
};

TEST_F(CallerApiTest, SubmitsGoodRequestsAndRendersTheAnswer) {
  const http::Response response = SendQuery(kValidRequest);
  ASSERT_EQ(submitted_.size(), 1U);
  EXPECT_EQ(submitted_[0],
            (query::CallerRequest{"1764691200000-4f2aB9c0", "counter-lookup",
                                  base::Milliseconds(500), true,
                                  R"({"any":[1,"x"]})"}));
  EXPECT_EQ(response.status, http::kOk);
  EXPECT_EQ(response.body,
            R"({"request_id":"1764691200000-4f2aB9c0","outcome":"answered",)"
            R"("snapshot":{"index_version":7,"layout_version":3},)"
            R"("coverage":{"share":1,"shards_answered":2,"shards_total":2,)"
            R"("missing":[],"is_partial":false},"latency_ms":12,)"
            R"("items":[{"a":1},2]})");
}

TEST_F(CallerApiTest, PartialAnswersSayWhatIsMissing) {
  std::get<query::Answered>(answer_).coverage = {.share = 0.9999999,
                                                 .shards_answered = 1,
                                                 .shards_total = 2,
                                                 .missing = {{0, 5}, {7, 9}},
                                                 .is_partial = true};
  EXPECT_THAT(
      SendQuery(kValidRequest).body,
      HasSubstr(R"("share":0.9999999,"shards_answered":1,"shards_total":2,)"
                R"("missing":[{"low":0,"high":5},{"low":7,"high":9}],)"
                R"("is_partial":true)"));
}

TEST_F(CallerApiTest, RefusalsSayWhenToComeBack) {
  query::Refused refused{
      "1764691200000-4f2aB9c0",
      base::MakeError(base::ErrorCode::kShed, base::Step::kQueue, "10.0.0.1:80",
                      "queue \"full\""),
      base::Milliseconds(1500), query::RefusalKind::kOverload};
  answer_ = refused;
  const http::Response response = SendQuery(kValidRequest);
  EXPECT_EQ(response.status, http::kTooManyRequests);
  EXPECT_EQ(response.headers.at("Retry-After"), "2");
  EXPECT_EQ(response.body,
            R"({"request_id":"1764691200000-4f2aB9c0","outcome":"refused",)"
            R"("ran":false,"step":"queue","peer":"10.0.0.1:80",)"
            R"("detail":"shed: queue \"full\"","retry_after_ms":1500})");
  refused.kind = query::RefusalKind::kUnavailable;
  answer_ = refused;
  EXPECT_EQ(SendQuery(kValidRequest).status, http::kServiceUnavailable);
}

TEST_F(CallerApiTest, UnknownOutcomeIsNeverRefusal) {
  answer_ = query::Unknown{
      "1764691200000-4f2aB9c0",
      base::MakeError(base::ErrorCode::kTimeout, base::Step::kReadUpstream,
                      "10.0.0.1:80", "")};
  const http::Response response = SendQuery(kValidRequest);
  EXPECT_EQ(response.status, http::kGatewayTimeout);
  EXPECT_EQ(response.body,
            R"({"request_id":"1764691200000-4f2aB9c0","outcome":"unknown",)"
            R"("step":"read_upstream","peer":"10.0.0.1:80",)"
            R"("detail":"timeout"})");
}

TEST_F(CallerApiTest, NamesTheFieldAtFault) {
  ExpectInvalid("", "");
  ExpectInvalid("{", "");
  ExpectInvalid("[1]", "");
  ExpectInvalid("null", "");
  ExpectInvalid(std::string(kValidRequest) + "x", "");
  ExpectInvalid(Replaced("\"query\"", "\"querry\""), "querry");
  ExpectInvalid(Replaced("\"deadline_ms\":500,", ""), "deadline_ms");
  ExpectInvalid(Replaced("\"idempotent\":true",
                         "\"idempotent\":true,\"idempotent\":false"),
                "idempotent");
  for (const char* value : {"0", "-1", "600001", "1.5", "\"500\"", "null",
                            "1e300", "18446744073709551615"}) {
    ExpectInvalid(Replaced("500", value), "deadline_ms");
  }
  for (const char* value : {"\"true\"", "1", "null"}) {
    ExpectInvalid(Replaced("true", value), "idempotent");
  }
  ExpectInvalid(Replaced("\"counter-lookup\"", "[]"), "class");
  ExpectInvalid(Replaced("\"counter-lookup\"", "\"\""), "class");
}

TEST_F(CallerApiTest, ChecksRequestIds) {
  const std::string good = "1764691200000-4f2aB9c0";
  for (const std::string id :
       {"", "-4f2aB9c0", "1764691200000", "1764691200000-", "12x4-4f2aB9c0",
        "1764691200000-4f2aB9c", "1764691200000-4f2aB9c0-1",
        "1764691200000-4f2a/9c0", "12345678901234567-4f2aB9c0"}) {
    ExpectInvalid(Replaced(good, id), "request_id");
  }
  ExpectInvalid(Replaced(good, "1-" + std::string(65, 'a')), "request_id");
  ExpectInvalid(Replaced("\"" + good + "\"", "17"), "request_id");
}

TEST_F(CallerApiTest, DeepNestingIsRefusedNotFollowed) {
  constexpr int kDepth = 200000;
  const std::string deep = std::string(kDepth, '[') + std::string(kDepth, ']');
  ExpectInvalid(Replaced(R"({"any":[1,"x"]})", deep), "");
  ExpectInvalid(std::string(kDepth, '{'), "");
}

TEST_F(CallerApiTest, UnknownClassIsNotSubmitted) {
  const http::Response response =
      SendQuery(Replaced("counter-lookup", "counter-lokup"));
  EXPECT_EQ(response.status, http::kNotFound);
  EXPECT_THAT(response.body, HasSubstr(R"("field":"class")"));
  EXPECT_TRUE(submitted_.empty());
  EXPECT_EQ(api_.invalid_requests(), 1U);
}

TEST_F(CallerApiTest, WrongPathsAndMethods) {
  EXPECT_EQ(Send("GET", "/v1/query", "").status, http::kMethodNotAllowed);
  EXPECT_EQ(Send("GET", "/v1/query", "").headers.at("Allow"), "POST");
  EXPECT_EQ(Send("POST", "/v1/ready", "").status, http::kMethodNotAllowed);
  EXPECT_EQ(Send("POST", "/", kValidRequest).status, http::kNotFound);
  EXPECT_TRUE(submitted_.empty());
}

TEST_F(CallerApiTest, RefusesWhileNotReady) {
  EXPECT_EQ(Send("GET", "/v1/ready", "").status, http::kOk);
  blackboard_.lifecycle.Write({.state = blackboard::LifecycleState::kStarting,
                               .reason = "no targets learnt yet"});
  const http::Response ready = Send("GET", "/v1/ready", "");
  EXPECT_EQ(ready.status, http::kServiceUnavailable);
  EXPECT_THAT(ready.body, HasSubstr("no targets learnt yet"));
  const http::Response starting = SendQuery(kValidRequest);
  EXPECT_EQ(starting.status, http::kServiceUnavailable);
  EXPECT_EQ(starting.headers.at("Retry-After"), "1");
  blackboard_.lifecycle.Write(
      {.state = blackboard::LifecycleState::kStopping, .reason = "stopping"});
  EXPECT_THAT(SendQuery(kValidRequest).body, HasSubstr(R"("step":"stop")"));
  EXPECT_TRUE(submitted_.empty());
}

TEST_F(CallerApiTest, AnswerForAnotherRequestIsNotPassedOn) {
  std::get<query::Answered>(answer_).request_id = "1764691200000-other000";
  const http::Response response = SendQuery(kValidRequest);
  EXPECT_EQ(response.status, http::kGatewayTimeout);
  EXPECT_THAT(response.body, HasSubstr(R"("outcome":"unknown")"));
  EXPECT_THAT(response.body, testing::Not(HasSubstr("items")));
}

TEST(CallerApiBoundsTest, RefusesAboveTheBoundAndAnswersOnce) {
  blackboard::Blackboard blackboard;
  blackboard.lifecycle.Write(
      {.state = blackboard::LifecycleState::kReady, .reason = ""});
  blackboard::TargetsView targets;
  targets.classes["counter-lookup"] = {};
  blackboard.targets.Write(targets);
  std::vector<query::AnswerCallback> kept;
  CallerApi api(
      {.max_requests = 1}, blackboard,
      [&kept](const query::CallerRequest&, query::AnswerCallback did_answer) {
        kept.push_back(std::move(did_answer));
      });
  http::Request request;
  request.method = "POST";
  request.path = "/v1/query";
  request.body = kValidRequest;
  std::vector<int> statuses;
  const auto respond = [&statuses](const http::Response& response) {
    statuses.push_back(response.status);
  };
  api.Handle(request, respond);
  api.Handle(request, respond);
  EXPECT_THAT(statuses, testing::ElementsAre(http::kTooManyRequests));
  EXPECT_EQ(api.in_flight(), 1);
  // If a request is dropped without an answer, the caller still gets one.
  kept.clear();
  EXPECT_THAT(statuses, testing::ElementsAre(http::kTooManyRequests,
                                             http::kGatewayTimeout));
  EXPECT_EQ(api.in_flight(), 0);
  api.Handle(request, respond);
  const query::CallerAnswer answer =
      query::Unknown{"1764691200000-4f2aB9c0", {}};
  kept.at(0)(answer);
  kept.at(0)(answer);
  EXPECT_EQ(statuses.size(), 3U);
  EXPECT_EQ(api.in_flight(), 0);
}

}  // namespace
}  // namespace medlarspread::caller_api
