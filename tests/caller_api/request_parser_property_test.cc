// Property test: for arbitrary input, parsing neither throws nor returns an
// invalid request. RapidCheck prints the seed of a failure; RC_PARAMS="seed=N"
// reproduces it.

#include <string>

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include "src/caller_api/request_parser.h"

namespace medlarspread::caller_api {
namespace {

constexpr const char* kValidRequest =
    R"({"request_id":"1764691200000-4f2aB9c0","class":"counter-lookup",)"
    R"("deadline_ms":500,"idempotent":true,"query":{"any":[1,"x"]}})";

bool IsValidOrRejected(const ParsedRequest& parsed) {
  const auto* request = std::get_if<query::CallerRequest>(&parsed);
  return request == nullptr ||
         (!request->class_name.empty() && !request->query.empty() &&
          request->request_id.size() >= 10 &&
          request->deadline > base::Duration(0) &&
          request->deadline <= base::Milliseconds(600000));
}

TEST(RequestParserPropertyTest, RandomBytesAreNeverARequest) {
  EXPECT_TRUE(rc::check([](const std::string& bytes) {
    RC_ASSERT(std::holds_alternative<InvalidField>(ParseCallerRequest(bytes)));
  }));
}

TEST(RequestParserPropertyTest, DamagedRequestsStayWithinTheRules) {
  EXPECT_TRUE(rc::check([] {
    std::string body = kValidRequest;
    const auto edits = *rc::gen::inRange(1, 6);
    for (int i = 0; i < edits; ++i) {
      const auto place = *rc::gen::inRange<std::size_t>(0, body.size());
      const auto length = *rc::gen::inRange<std::size_t>(0, 4);
      body.replace(place, length, *rc::gen::arbitrary<std::string>());
    }
    RC_ASSERT(IsValidOrRejected(ParseCallerRequest(body)));
  }));
}

}  // namespace
}  // namespace medlarspread::caller_api
