// Selection and parsing of commands, usage errors, and the commands that change
// no targets.

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include "tests/cli/fake_environment.h"

namespace medlarspread::cli {
namespace {

using testing::HasSubstr;
using testing::IsEmpty;

class CommandLineTest : public testing::Test {
 protected:
  FakeEnvironment fake_;
};

TEST_F(CommandLineTest, HelpNamesEveryCommand) {
  EXPECT_EQ(fake_.Run({"--help"}), 0);
  for (const std::string name :
       {"serve", "class list", "class show", "class set", "class remove",
        "status", "report burn", "check-config", "query", "log-level",
        "quarantine lift", "version"}) {
    EXPECT_THAT(fake_.out, HasSubstr("  " + name + " "));
  }
  EXPECT_EQ(fake_.Run({}), 2);
  EXPECT_THAT(fake_.error, HasSubstr("Usage"));
}

TEST_F(CommandLineTest, EveryCommandHasHelp) {
  const std::vector<std::vector<std::string>> commands = {
      {"serve"},          {"class", "list"},   {"class", "show"},
      {"class", "set"},   {"class", "remove"}, {"status"},
      {"report", "burn"}, {"check-config"},    {"query"},
      {"log-level"},      {"version"},         {"quarantine", "lift"}};
  for (std::vector<std::string> command : commands) {
    command.emplace_back("--help");
    EXPECT_EQ(fake_.Run(command), 0) << command.front();
    EXPECT_THAT(fake_.out, HasSubstr("Usage:"));
    EXPECT_THAT(fake_.out, testing::Not(HasSubstr("--positional")));
  }
  EXPECT_THAT(fake_.requests, IsEmpty());
}

TEST_F(CommandLineTest, RefusesWhatItDoesNotKnow) {
  EXPECT_EQ(fake_.Run({"statsu"}), 2);
  EXPECT_THAT(fake_.error, HasSubstr("did you mean status?"));
  EXPECT_EQ(fake_.Run({"class", "sett"}), 2);
  EXPECT_THAT(fake_.error, HasSubstr("did you mean class set?"));
  EXPECT_EQ(fake_.Run({"class"}), 2);
  EXPECT_EQ(fake_.Run({"status", "--colour"}), 2);
  EXPECT_THAT(fake_.error, HasSubstr("medlarspread status --help"));
  EXPECT_EQ(fake_.Run({"status", "now"}), 2);
  EXPECT_EQ(fake_.Run({"status", "--timeout-ms", "soon"}), 2);
  EXPECT_EQ(fake_.Run({"status", "--timeout-ms", "0"}), 2);
  EXPECT_EQ(fake_.Run({"log-level", "loud"}), 2);
  EXPECT_EQ(fake_.Run({"report", "burn", "--format", "pdf"}), 2);
  EXPECT_THAT(fake_.requests, IsEmpty());
}

TEST_F(CommandLineTest, AdministrationNeedsAddressAndToken) {
  fake_.variables.clear();
  EXPECT_EQ(fake_.Run({"status"}), 2);
  EXPECT_THAT(fake_.error, HasSubstr("--address"));
  EXPECT_EQ(fake_.Run({"status", "--address", "10.0.0.2:81"}), 2);
  EXPECT_THAT(fake_.error, HasSubstr("MEDLARSPREAD_TOKEN"));
  fake_.replies = {FakeEnvironment::Answer(200, R"({"a":1})")};
  EXPECT_EQ(fake_.Run({"status", "--address", "10.0.0.2:81", "--token", "x"}),
            0);
  EXPECT_EQ(fake_.addresses.at(0), "10.0.0.2:81");
  EXPECT_EQ(fake_.requests.at(0).headers.at("Authorization"), "Bearer x");
}

TEST_F(CommandLineTest, StatusIsReadableOrJson) {
  const std::string body =
      R"({"revision":7,"vms":[{"state":"live","name":"vm-1"},)"
      R"({"name":"vm-22","state":"leaving","holdings":[{"low":0},{"low":7}]}],)"
      R"("queues":{"photos":{"queued":2}}})";
  fake_.replies = {FakeEnvironment::Answer(200, body),
                   FakeEnvironment::Answer(200, body)};
  EXPECT_EQ(fake_.Run({"status"}), 0);
  EXPECT_THAT(fake_.out, HasSubstr("revision: 7\n"));
  EXPECT_THAT(fake_.out, HasSubstr("vms:\n"
                                   "  name   state    holdings\n"
                                   "  vm-1   live     -\n"
                                   "  vm-22  leaving  low=0, low=7\n"));
  EXPECT_THAT(fake_.out, HasSubstr("queues:\n  photos:\n    queued: 2\n"));
  EXPECT_EQ(fake_.Run({"status", "--json"}), 0);
  EXPECT_EQ(fake_.out, body + "\n");
}

TEST_F(CommandLineTest, ReportBurnPassesTheFormatOn) {
  fake_.replies = {FakeEnvironment::Answer(200, "a report\n"),
                   FakeEnvironment::Answer(200, "{}")};
  EXPECT_EQ(fake_.Run({"report", "burn"}), 0);
  EXPECT_EQ(fake_.out, "a report\n");
  EXPECT_EQ(fake_.Run({"report", "burn", "--json"}), 0);
  EXPECT_EQ(fake_.requests.at(0).parameters.at("format"), "text");
  EXPECT_EQ(fake_.requests.at(1).parameters.at("format"), "json");
}

TEST_F(CommandLineTest, LogLevelIsSent) {
  fake_.replies = {FakeEnvironment::Answer(200, "{}"),
                   FakeEnvironment::Answer(401, R"({"error":"unauthorized"})")};
  EXPECT_EQ(fake_.Run({"log-level", "debug"}), 0);
  EXPECT_EQ(fake_.requests.at(0).body, R"({"level":"debug"})");
  EXPECT_EQ(fake_.Run({"log-level", "debug"}), 1);
  EXPECT_THAT(fake_.error, HasSubstr("401"));
  EXPECT_EQ(fake_.Run({"log-level", "debug"}), 1);
  EXPECT_THAT(fake_.error, HasSubstr("unreachable"));
}

TEST_F(CommandLineTest, CheckConfigReportsProblems) {
  EXPECT_EQ(fake_.Run({"check-config", "/nonexistent/daemon.ini"}), 1);
  EXPECT_THAT(fake_.error, HasSubstr("can't be read"));
  EXPECT_EQ(fake_.Run({"check-config", "/nonexistent/daemon.ini", "--json"}),
            1);
  EXPECT_THAT(fake_.out, HasSubstr(R"({"valid":false)"));
  EXPECT_EQ(fake_.Run({"check-config"}), 2);
  EXPECT_EQ(fake_.Run({"serve", "/nonexistent/daemon.ini"}), 1);
  EXPECT_EQ(fake_.Run({"serve"}), 2);
  EXPECT_THAT(fake_.served, IsEmpty());
}

class QueryCommandTest : public CommandLineTest {
 protected:
  int RunQuery(const FakeEnvironment::Reply& reply) {
    fake_.replies = {reply};
    return fake_.Run({"query", "--address", "10.0.0.1:80", "--class", "audit",
                      R"({"any": 1})"});
  }
};

TEST_F(QueryCommandTest, SendsWhatTheCallerApiExpects) {
  EXPECT_EQ(
      RunQuery(FakeEnvironment::Answer(
          200, R"({"outcome":"answered","coverage":{"is_partial":true}})")),
      0);
  EXPECT_THAT(fake_.error, HasSubstr("partial"));
  const http::Request& request = fake_.requests.at(0);
  EXPECT_EQ(request.method + " " + request.path, "POST /v1/query");
  EXPECT_THAT(request.body,
              testing::MatchesRegex(
                  R"(\{"request_id":"1764691200000-[0-9a-f]{16}",)"
                  R"("class":"audit","deadline_ms":1000,"idempotent":false,)"
                  R"("query":\{"any": 1\}\})"));
  EXPECT_TRUE(request.is_sent_once);
}

TEST_F(QueryCommandTest, ExitCodesTellTheOutcomesApart) {
  EXPECT_EQ(RunQuery(FakeEnvironment::Answer(503, R"({"outcome":"refused"})")),
            3);
  EXPECT_EQ(RunQuery(FakeEnvironment::Answer(504, R"({"outcome":"unknown"})")),
            4);
  EXPECT_EQ(RunQuery(FakeEnvironment::Answer(400, R"({"error":"invalid"})")),
            1);
  EXPECT_EQ(
      RunQuery(FakeEnvironment::Failure(base::ErrorCode::kConnectionLost)), 4);
  EXPECT_THAT(fake_.error, HasSubstr("request id: 1764691200000-"));
  EXPECT_EQ(RunQuery(FakeEnvironment::Failure(base::ErrorCode::kUnreachable)),
            1);
}

TEST_F(QueryCommandTest, RefusesTextThatIsNotJson) {
  EXPECT_EQ(fake_.Run({"query", "--address", "10.0.0.1:80", "--class", "audit",
                       "{\"any\""}),
            2);
  EXPECT_THAT(fake_.requests, IsEmpty());
}

}  // namespace
}  // namespace medlarspread::cli
