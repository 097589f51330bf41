// Tests that the answer checker detects each kind of violation.

#include <gtest/gtest.h>

#include "emulator/leaf/query_message.h"
#include "emulator/load/answer_checker.h"
#include "emulator/load/class_load.h"
#include "emulator/load/class_report.h"

namespace medlarspread::emulator {
namespace {

const AskedQuery kAsked{"1-abcdefgh", R"({"number":7})"};

std::string Item(int version, int low, int high, const std::string& digest) {
  return R"({"collection":"main","index_version":)" + std::to_string(version) +
         R"(,"layout_version":1,"item":0,"low":)" + std::to_string(low) +
         R"(,"high":)" + std::to_string(high) + R"(,"query_digest":")" +
         digest + "\"}";
}

std::string Answer(const std::string& items, const std::string& coverage) {
  return R"({"request_id":"1-abcdefgh","snapshot":{"index_version":1,)"
         R"("layout_version":1},"coverage":{)" +
         coverage + R"(},"items":[)" + items + "]}";
}

constexpr char kFull[] = R"("share":1.0,"missing":[],"is_partial":false)";
constexpr char kHalf[] =
    R"("share":0.5,"missing":[{"low":32768,"high":65536}],"is_partial":true)";

class AnswerCheckerTest : public testing::Test {
 protected:
  static Violation Check(const std::string& items,
                         const std::string& coverage) {
    return CheckAnswer(kAsked, Answer(items, coverage)).violation;
  }

  const std::string digest_ = QueryDigest(kAsked.query);
  const std::string low_ = Item(1, 0, 32768, digest_);
  const std::string high_ = Item(1, 32768, 65536, digest_);
};

TEST_F(AnswerCheckerTest, AcceptsTrueAnswers) {
  EXPECT_EQ(Check(low_ + "," + high_, kFull), Violation::kNone);
  EXPECT_EQ(Check(low_, kHalf), Violation::kNone);
}

TEST_F(AnswerCheckerTest, SeesBrokenPromises) {
  EXPECT_EQ(Check(low_, kFull), Violation::kFalseCoverage);
  EXPECT_EQ(Check(low_ + "," + high_, kHalf), Violation::kFalseCoverage);
  EXPECT_EQ(Check(low_ + "," + Item(1, 16384, 65536, digest_), kFull),
            Violation::kFalseCoverage);
  EXPECT_EQ(Check(low_ + "," + Item(2, 32768, 65536, digest_), kFull),
            Violation::kMixedSnapshots);
  EXPECT_EQ(Check(low_ + "," + Item(1, 32768, 65536, "0"), kFull),
            Violation::kForeign);
  EXPECT_EQ(Check(low_ + "," + low_ + "," + high_, kFull), Violation::kDoubled);
  EXPECT_EQ(CheckAnswer(kAsked, "{}").violation, Violation::kMalformed);
  EXPECT_EQ(CheckAnswer({"2-abcdefgh", kAsked.query},
                        Answer(low_ + "," + high_, kFull))
                .violation,
            Violation::kForeign);
}

TEST_F(AnswerCheckerTest, ChecksRefusals) {
  const std::string head = R"({"request_id":"1-abcdefgh","ran":)";
  EXPECT_EQ(CheckRefusal(kAsked, head + R"(false,"retry_after_ms":5})"),
            Violation::kNone);
  EXPECT_EQ(CheckRefusal(kAsked, head + R"(true,"retry_after_ms":5})"),
            Violation::kBadRefusal);
  EXPECT_EQ(CheckRefusal(kAsked, head + R"(false,"retry_after_ms":0})"),
            Violation::kBadRefusal);
}

TEST_F(AnswerCheckerTest, CountsEveryRequestOnce) {
  const auto loads = ParseClassLoads(
      {"name=counter", "rate=5", "latency_ms=50", "name=audit"});
  ASSERT_TRUE(loads.is_ok());
  ASSERT_EQ(loads.value().size(), 2U);
  ClassReport report(loads.value()[0]);
  for (int request = 0; request < 4; ++request) {
    report.DidAsk();
  }
  const std::string body = Answer(low_ + "," + high_, kFull);
  report.DidReceive(kAsked, {.headers = {}, .body = body},
                    base::Milliseconds(40));
  report.DidReceive(kAsked, {.headers = {}, .body = body},
                    base::Milliseconds(60));
  report.DidReceive(
      kAsked, {.status = http::kGatewayTimeout, .headers = {}, .body = ""},
      base::Milliseconds(60));
  EXPECT_FALSE(report.is_complete());
  report.DidFail();
  EXPECT_TRUE(report.is_complete());
  EXPECT_EQ(report.violations(), 0);
  EXPECT_NE(report.ToJson().find(R"("in_time_share":0.25)"), std::string::npos)
      << report.ToJson();
  EXPECT_FALSE(ParseClassLoads({"rate=5"}).is_ok());
  EXPECT_FALSE(ParseClassLoads({"name=a", "rate=x"}).is_ok());
}

}  // namespace
}  // namespace medlarspread::emulator
