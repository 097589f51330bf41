// Tests the decoding of valid, invalid and malicious replies of a leaf.

#include "src/upstream/leaf_message.h"

#include <gtest/gtest.h>

namespace medlarspread::upstream {
namespace {

using blackboard::UpstreamState;

constexpr char kPeer[] = "10.0.0.1:80";

LeafRequest MakeRequest() {
  return {.attempt_id = "a1",
          .request_id = "r1",
          .class_name = "lookup",
          .collection = "proofs",
          .snapshot = {7, 3},
          .range = {0, 100},
          .deadline_left = base::Milliseconds(50),
          .query = R"({"any":1})"};
}

std::string MakeAnswer(const std::string& attempt = R"("a1")",
                       const std::string& low = "0",
                       const std::string& count = "2",
                       const std::string& items = "[1,{\"x\":2}]") {
  return R"({"attempt_id":)" + attempt +
         R"(,"request_id":"r1","collection":"proofs","index_version":7,)"
         R"("layout_version":3,"low":)" +
         low + R"(,"high":100,"items":)" + items + R"(,"count":)" + count +
         R"(,"service_us":1500,"state":"serving"})";
}

LeafReply Decode(int status, const std::string& body) {
  http::Response response;
  response.status = status;
  response.body = body;
  return DecodeReply(MakeRequest(), kPeer, response);
}

void ExpectMismatch(const LeafReply& reply, const std::string& detail) {
  EXPECT_EQ(reply.outcome, LeafOutcome::kMismatch);
  EXPECT_TRUE(MayHaveRun(reply.outcome));
  EXPECT_TRUE(reply.items.empty());
  EXPECT_FALSE(reply.state.has_value());
  EXPECT_EQ(reply.error.step, base::Step::kReadUpstream);
  EXPECT_EQ(reply.error.peer, kPeer);
  EXPECT_NE(reply.error.detail.find(detail), std::string::npos)
      << reply.error.ToString();
}

TEST(LeafMessageTest, QueryCarriesEveryField) {
  const http::Request message = EncodeQuery(MakeRequest());
  EXPECT_EQ(message.method, "POST");
  EXPECT_EQ(message.path, "/v1/query");
  EXPECT_EQ(message.body,
            R"({"attempt_id":"a1","request_id":"r1","collection":"proofs",)"
            R"("class":"lookup","index_version":7,"layout_version":3,)"
            R"("low":0,"high":100,"deadline_ms":50,"at_most_once":false,)"
            R"("query":{"any":1}})");
}

TEST(LeafMessageTest, MatchingAnswerIsAnswered) {
  const LeafReply reply = Decode(http::kOk, MakeAnswer());
  EXPECT_EQ(reply.outcome, LeafOutcome::kAnswered) << reply.error.ToString();
  EXPECT_EQ(reply.items, R"([1,{"x":2}])");
  EXPECT_EQ(reply.service_time.count(), 1500);
  EXPECT_EQ(reply.state, UpstreamState::kServing);
}

TEST(LeafMessageTest, AnswerForSomethingElseIsMismatch) {
  ExpectMismatch(Decode(http::kOk, MakeAnswer(R"("a2")")), "attempt_id");
  ExpectMismatch(Decode(http::kOk, MakeAnswer("17")), "attempt_id");
  ExpectMismatch(Decode(http::kOk, MakeAnswer(R"("a1")", "1")), "low");
  ExpectMismatch(Decode(http::kOk, MakeAnswer(R"("a1")", "0.5")), "low");
}

TEST(LeafMessageTest, TruncatedItemsAreMismatch) {
  const auto decode = [](const char* count, const char* items) {
    return Decode(http::kOk, MakeAnswer(R"("a1")", "0", count, items));
  };
  ExpectMismatch(decode("3", "[1,2]"), "count");
  ExpectMismatch(decode("1", "[1,2]"), "count");
  ExpectMismatch(decode("-1", "[]"), "count");
  ExpectMismatch(decode("99999999999999999999", "[1]"), "count");
  ExpectMismatch(decode("\"1\"", "[1]"), "count");
  ExpectMismatch(decode("1", "{\"0\":1}"), "items");
  EXPECT_EQ(decode("0", "[]").outcome, LeafOutcome::kAnswered);
}

TEST(LeafMessageTest, HostileBodiesAreMismatch) {
  const std::string deep(100'000, '[');
  const std::string bodies[] = {
      "",
      "{",
      "null",
      "[]",
      "\"\\ud800\"",
      "{\"a\":\"\\u12\"}",
      "\xff\xfe",
      "{\"items\":1e999}",
      "{\"items\":" + deep,
      std::string(10, '\0'),
      MakeAnswer(R"("a1")", "0", "1", "[\"\xc3\x28\"]"),
      MakeAnswer(R"("a1")", "1e400", "1", "[1]")};
  for (const std::string& body : bodies) {
    for (const int status : {200, 409, 503}) {
      const LeafReply reply = Decode(status, body);
      EXPECT_EQ(reply.outcome, LeafOutcome::kMismatch) << body.substr(0, 40);
    }
  }
}

TEST(LeafMessageTest, NumbersThatJsonCannotCarryOnAreMismatch) {
  for (const char* items : {"[1e999]", "[-1e999]", "[{\"x\":[1e400]}]"}) {
    const LeafReply reply =
        Decode(http::kOk, MakeAnswer(R"("a1")", "0", "1", items));
    EXPECT_EQ(reply.outcome, LeafOutcome::kMismatch) << reply.items;
  }
}

TEST(LeafMessageTest, RefusalCountsAsNotRunOnlyIfItSaysSo) {
  const LeafReply shed = Decode(
      503,
      R"({"error":"shed","ran":false,"retry_after_ms":30,"state":"cold"})");
  EXPECT_EQ(shed.outcome, LeafOutcome::kShed);
  EXPECT_FALSE(MayHaveRun(shed.outcome));
  EXPECT_EQ(shed.retry_after, base::Milliseconds(30));
  EXPECT_EQ(shed.state, UpstreamState::kCold);
  EXPECT_EQ(shed.error.code, base::ErrorCode::kShed);

  ExpectMismatch(Decode(503, R"({"error":"shed"})"), "ran");
  ExpectMismatch(Decode(503, R"({"error":"shed","ran":true})"), "ran");
  ExpectMismatch(Decode(503, R"({"error":"shed","ran":"false"})"), "ran");
  ExpectMismatch(Decode(503, R"({"error":"odd","ran":false})"), "error");
  ExpectMismatch(Decode(409, R"({"error":"shed","ran":false})"), "error");
  ExpectMismatch(
      Decode(503, R"({"error":"shed","ran":false,"attempt_id":"a2"})"),
      "attempt_id");
  ExpectMismatch(Decode(500, R"({"error":"shed","ran":false})"), "500");
}

TEST(LeafMessageTest, DrainingAndColdSayTheState) {
  const LeafReply draining = Decode(503, R"({"error":"draining","ran":false})");
  EXPECT_EQ(draining.outcome, LeafOutcome::kDraining);
  EXPECT_EQ(draining.state, UpstreamState::kDraining);
  const LeafReply cold = Decode(503, R"({"error":"cold","ran":false})");
  EXPECT_EQ(cold.outcome, LeafOutcome::kCold);
  EXPECT_EQ(cold.state, UpstreamState::kCold);
}

TEST(LeafMessageTest, WrongSnapshotBringsHoldings) {
  const LeafReply reply = Decode(
      409, R"({"error":"wrong_snapshot","ran":false,"holdings":[)"
           R"({"index_version":8,"layout_version":3,"low":0,"high":100}]})");
  EXPECT_EQ(reply.outcome, LeafOutcome::kWrongSnapshot);
  ASSERT_EQ(reply.holdings.size(), 1u);
  EXPECT_EQ(reply.holdings[0], (blackboard::Holding{{8, 3}, {0, 100}}));
}

TEST(LeafMessageTest, HealthIsTakenWholeOrNotAtAll) {
  const auto decode = [](const std::string& state, const std::string& low) {
    http::Response response;
    response.body =
        R"({"name":"l1","collection":"proofs","state":")" + state +
        R"(","slots":2,"connections":25,"holdings":[{"index_version":7,)"
        R"("layout_version":3,"low":)" +
        low + R"(,"high":100}]})";
    return DecodeHealth(kPeer, response);
  };
  const auto health = decode("draining", "0");
  ASSERT_TRUE(health.is_ok());
  EXPECT_EQ(health.value().state, UpstreamState::kDraining);
  EXPECT_EQ(health.value().slots, 2);
  EXPECT_EQ(health.value().holdings.size(), 1u);
  EXPECT_FALSE(decode("dozing", "0").is_ok());
  EXPECT_FALSE(decode("serving", "100").is_ok());
  EXPECT_FALSE(decode("serving", "null").is_ok());
}

}  // namespace
}  // namespace medlarspread::upstream
