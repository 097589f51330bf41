// The class commands: the requests they send, and their retries and output when
// replies are lost, refused or report a conflicting change.

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include "tests/cli/fake_environment.h"

namespace medlarspread::cli {
namespace {

using testing::HasSubstr;

constexpr const char* kAccepted = R"({"revision":12})";

const std::vector<std::string> kFullSet = {
    "class",  "set",          "audit", "--collection",
    "photos", "--latency-ms", "200",   "--percentile",
    "99.5",   "--coverage",   "0.75",  "--coverage-percentile",
    "99"};

class ClassCommandsTest : public testing::Test {
 protected:
  FakeEnvironment fake_;
};

TEST_F(ClassCommandsTest, SetSendsEverythingOnce) {
  fake_.replies = {FakeEnvironment::Answer(200, kAccepted)};
  EXPECT_EQ(fake_.Run(kFullSet), 0);
  EXPECT_EQ(fake_.out, "accepted as revision 12\n");
  ASSERT_EQ(fake_.requests.size(), 1U);
  const http::Request& request = fake_.requests[0];
  EXPECT_EQ(request.method + " " + request.path, "PUT /v1/classes/audit");
  for (const char* field :
       {R"("collection":"photos")", R"("latency_ms":200)",
        R"("percentile":99.5)", R"("coverage":0.75)",
        R"("coverage_percentile":99)", R"("change_id":"1764691200000-)"}) {
    EXPECT_THAT(request.body, HasSubstr(field));
  }
  EXPECT_THAT(request.body, testing::Not(HasSubstr("expected_revision")));
  EXPECT_THAT(fake_.error, HasSubstr("change id: 1764691200000-"));
}

TEST_F(ClassCommandsTest, PartialSetKeepsTheOtherTargets) {
  fake_.replies = {
      FakeEnvironment::Answer(
          200,
          R"({"revision":11,"classes":[{"name":"audit","collection":"photos",)"
          R"("latency_ms":300,"percentile":99,"coverage":1,)"
          R"("coverage_percentile":95}]})"),
      FakeEnvironment::Answer(200, kAccepted)};
  EXPECT_EQ(fake_.Run({"class", "set", "audit", "--latency-ms", "150"}), 0);
  ASSERT_EQ(fake_.requests.size(), 2U);
  for (const char* field :
       {R"("collection":"photos")", R"("latency_ms":150)", R"("percentile":99)",
        R"("coverage_percentile":95)", R"("expected_revision":11)"}) {
    EXPECT_THAT(fake_.requests[1].body, HasSubstr(field));
  }
}

TEST_F(ClassCommandsTest, PartialSetOfANewClassSaysWhatIsMissing) {
  fake_.replies = {FakeEnvironment::Answer(404, R"({"error":"not_found"})")};
  EXPECT_EQ(fake_.Run({"class", "set", "audit", "--latency-ms", "150"}), 1);
  EXPECT_THAT(fake_.error, HasSubstr("--coverage-percentile"));
  EXPECT_EQ(fake_.requests.size(), 1U);
}

TEST_F(ClassCommandsTest, LostReplyIsAskedAgainWithTheSameIdentifier) {
  fake_.replies = {FakeEnvironment::Failure(base::ErrorCode::kTimeout),
                   FakeEnvironment::Answer(504, R"({"outcome":"unknown"})"),
                   FakeEnvironment::Failure(base::ErrorCode::kUnreachable),
                   FakeEnvironment::Answer(200, kAccepted)};
  EXPECT_EQ(fake_.Run(kFullSet), 0);
  ASSERT_EQ(fake_.requests.size(), 4U);
  for (const http::Request& request : fake_.requests) {
    EXPECT_EQ(request.body, fake_.requests[0].body);
  }
  EXPECT_GT(fake_.slept, base::Duration(0));
}

TEST_F(ClassCommandsTest, UnknownStaysUnknownWhenTheDaemonThenRefuses) {
  fake_.replies = {FakeEnvironment::Failure(base::ErrorCode::kConnectionLost)};
  for (int i = 0; i < 10; ++i) {
    fake_.replies.push_back(FakeEnvironment::Answer(
        503, R"({"outcome":"refused","retry_after_ms":500})"));
  }
  EXPECT_EQ(fake_.Run(kFullSet), 4);
  EXPECT_THAT(fake_.error, HasSubstr("--change-id 1764691200000-"));
  EXPECT_EQ(fake_.out, "");
}

TEST_F(ClassCommandsTest, ChangeIdCanBeGiven) {
  fake_.replies = {FakeEnvironment::Answer(200, kAccepted)};
  std::vector<std::string> arguments = kFullSet;
  arguments.insert(arguments.end(), {"--change-id", "1-abcd"});
  EXPECT_EQ(fake_.Run(arguments), 0);
  EXPECT_THAT(fake_.requests.at(0).body, HasSubstr(R"("change_id":"1-abcd")"));
}

TEST_F(ClassCommandsTest, RefusalAndConflictAreNotRetried) {
  fake_.replies = {FakeEnvironment::Answer(
                       409, R"({"revision":13,"winner_change_id":"9-other"})"),
                   FakeEnvironment::Answer(
                       503, R"({"outcome":"refused","detail":"store down",)"
                            R"("retry_after_ms":500})")};
  EXPECT_EQ(fake_.Run(kFullSet), 3);
  EXPECT_THAT(fake_.error, HasSubstr("winner_change_id 9-other"));
  EXPECT_EQ(fake_.Run(kFullSet), 3);
  EXPECT_THAT(fake_.error, HasSubstr("store down"));
  EXPECT_THAT(fake_.error, HasSubstr("; retry in 500 ms"));
  EXPECT_EQ(fake_.requests.size(), 2U);
}

TEST_F(ClassCommandsTest, JsonOutcomeIsOneObject) {
  fake_.replies = {FakeEnvironment::Answer(200, kAccepted)};
  std::vector<std::string> arguments = kFullSet;
  arguments.insert(arguments.end(), {"--change-id", "1-abcd", "--json"});
  EXPECT_EQ(fake_.Run(arguments), 0);
  EXPECT_EQ(fake_.out,
            "{\"change_id\":\"1-abcd\",\"outcome\":\"accepted\","
            "\"revision\":12}\n");
}

TEST_F(ClassCommandsTest, RemoveSendsTheChangeIdentifier) {
  fake_.replies = {FakeEnvironment::Answer(200, kAccepted)};
  EXPECT_EQ(fake_.Run({"class", "remove", "audit"}), 0);
  EXPECT_EQ(fake_.requests.at(0).method, "DELETE");
  EXPECT_THAT(fake_.requests.at(0).parameters.at("change_id"),
              testing::StartsWith("1764691200000-"));
}

TEST_F(ClassCommandsTest, NumbersMustBeFinite) {
  std::vector<std::string> arguments = kFullSet;
  arguments[8] = "nan";
  EXPECT_EQ(fake_.Run(arguments), 2);
  EXPECT_TRUE(fake_.requests.empty());
}

}  // namespace
}  // namespace medlarspread::cli
