// SendAndWait, and one command that uses it, against a real HTTP listener.

#include <sstream>

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include "src/cli/command_line.h"
#include "src/cli/http_exchange.h"
#include "src/http/listener.h"

namespace medlarspread::cli {
namespace {

TEST(HttpExchangeTest, CarriesACommandToAListener) {
  // Nothing listens on the reserved port 1. NOTE: this call must come first: it
  // starts the threads that the listener uses too.
  const auto refused =
      SendAndWait("127.0.0.1:1", {}, base::Milliseconds(20000));
  ASSERT_FALSE(refused.is_ok());
  EXPECT_EQ(refused.error().code, base::ErrorCode::kUnreachable);

  http::Listener listener(
      {.address = "127.0.0.1:0"},
      [](const http::Request& request, const http::Responder& respond) {
        http::Response response;
        response.body = R"({"path":")" + request.path +
                        R"(","authorization":")" +
                        request.headers.at("authorization") + "\"}";
        respond(response);
      });
  ASSERT_TRUE(listener.Open().is_ok());
  std::ostringstream out;
  std::ostringstream error;
  base::Random random(1);
  const Environment environment{
      .out = out,
      .error = error,
      .variable = [](const char*) { return std::nullopt; },
      .exchange = SendAndWait,
      .sleep = [](base::Duration) {},
      .clock = base::Clock(),
      .random = random,
      .serve = [](const settings::DaemonSettings&) { return 0; }};
  const ExitCode code = CommandLine(environment)
                            .Run({"status", "--address", listener.address(),
                                  "--token", "secret-token"});
  EXPECT_EQ(code, ExitCode::kOk) << error.str();
  EXPECT_EQ(out.str(),
            "authorization: Bearer secret-token\npath: /v1/status\n");
}

}  // namespace
}  // namespace medlarspread::cli
