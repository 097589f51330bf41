// Log lines: their fields, their levels, and that no message can break a line.

#include <sstream>

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include "src/base/json_string.h"
#include "src/base/log.h"

namespace medlarspread::base {
namespace {

using testing::HasSubstr;
using testing::MatchesRegex;
using testing::Not;

TEST(LogTest, WritesOneJsonObjectPerEntry) {
  std::ostringstream stream;
  const Log log({.vm = "vm-1"}, stream);
  log.Write({.level = LogLevel::kInfo,
             .step = Step::kQueue,
             .peer = "10.0.0.1:80",
             .request_id = "17-abcdefgh",
             .message = "say \"hi\"\nthere"});
  EXPECT_THAT(
      stream.str(),
      MatchesRegex(R"(\{"time":"....-..-..T..:..:..\....Z","level":"info",)"
                   R"("vm":"vm-1","step":"queue","peer":"10.0.0.1:80",)"
                   R"("request_id":"17-abcdefgh","message":".*"\})"
                   "\n"));
  EXPECT_THAT(stream.str(), HasSubstr(R"(say \"hi\"\nthere)"));
}

TEST(LogTest, LevelChangesAtRunTimeForAllCopies) {
  std::ostringstream stream;
  const Log log({.level = LogLevel::kWarning, .vm = "vm-1"}, stream);
  const Log& copy = log;
  log.Write({.level = LogLevel::kInfo, .message = "first"});
  copy.set_level(LogLevel::kDebug);
  EXPECT_EQ(log.level(), LogLevel::kDebug);
  log.Write({.level = LogLevel::kDebug, .message = "second"});
  EXPECT_THAT(stream.str(), Not(HasSubstr("first")));
  EXPECT_THAT(stream.str(), HasSubstr("second"));
}

TEST(LogTest, FailureCarriesStepAndPeer) {
  std::ostringstream stream;
  const Log log({.format = LogFormat::kText, .vm = "vm-1"}, stream);
  log.DidFail(MakeError(ErrorCode::kTimeout, Step::kReadStore, "10.0.0.9:70",
                        "after 500 ms"),
              "targets are not refreshed");
  EXPECT_THAT(stream.str(), HasSubstr("warning vm-1 read_store"));
  EXPECT_THAT(stream.str(), HasSubstr("peer=10.0.0.9:70"));
  EXPECT_THAT(stream.str(),
              HasSubstr("targets are not refreshed: timeout: after 500 ms"));
}

TEST(JsonNumberTest, IsShortAndExact) {
  EXPECT_EQ(JsonNumber(0.98), "0.98");
  EXPECT_EQ(JsonNumber(1), "1");
  EXPECT_EQ(JsonNumber(0.99999999999999989), "0.9999999999999999");
}

TEST(JsonStringTest, AlwaysYieldsValidText) {
  EXPECT_EQ(JsonString("a\\b"), R"("a\\b")");
  EXPECT_EQ(JsonString(std::string_view("\0\x7f", 2)), R"("\u0000\u007f")");
  EXPECT_EQ(JsonString("gy\xc5\xb1r"), "\"gy\xc5\xb1r\"");
  EXPECT_EQ(JsonString("\xc5"), R"("\ufffd")");
  EXPECT_EQ(JsonString("\xed\xa0\x80"), R"("\ufffd\ufffd\ufffd")");
  EXPECT_EQ(JsonString("\xc0\xafx"), R"("\ufffd\ufffdx")");
}

}  // namespace
}  // namespace medlarspread::base
