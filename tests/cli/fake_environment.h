// Fake of cli::Environment: scripted replies, recorded requests and captured
// output.

#ifndef MEDLARSPREAD_TESTS_CLI_FAKE_ENVIRONMENT_H_
#define MEDLARSPREAD_TESTS_CLI_FAKE_ENVIRONMENT_H_

#include <array>
#include <deque>
#include <map>
#include <memory>
#include <sstream>
#include <string>
#include <utility>
#include <vector>

#include "src/cli/command_line.h"

namespace medlarspread::cli {

class FakeEnvironment {
 public:
  using Reply = base::Result<http::Response>;

  static Reply Answer(int status, std::string body) {
    http::Response response;
    response.status = status;
    response.body = std::move(body);
    return response;
  }
  static Reply Failure(base::ErrorCode code) {
    return base::MakeError(code, base::Step::kReport, "10.0.0.1:81", "");
  }

  // Runs `arguments` and returns the exit code as a number. `out` and `error`
  // then hold what this run printed.
  int Run(const std::vector<std::string>& arguments) {
    out_stream_.str("");
    error_stream_.str("");
    const ExitCode code = CommandLine(environment_).Run(arguments);
    out = out_stream_.str();
    error = error_stream_.str();
    return static_cast<int>(code);
  }

  // The next replies, in order. When none is left, requests fail with
  // kUnreachable.
  std::deque<Reply> replies;
  std::map<std::string, std::string> variables = {
      {"MEDLARSPREAD_ADDRESS", "10.0.0.1:81"},
      {"MEDLARSPREAD_TOKEN", "secret-token"}};
  // The requests sent, and their addresses.
  std::vector<http::Request> requests;
  std::vector<std::string> addresses;
  base::Duration slept{};
  // Writes to the store (address, key and value), and the result of each.
  std::vector<std::array<std::string, 3>> written_keys;
  base::Status write_result = base::Done{};
  std::vector<settings::DaemonSettings> served;
  std::string out;
  std::string error;

 private:
  Reply Exchange(const std::string& address, const http::Request& request) {
    addresses.push_back(address);
    requests.push_back(request);
    if (replies.empty()) {
      return Failure(base::ErrorCode::kUnreachable);
    }
    Reply reply = replies.front();
    replies.pop_front();
    return reply;
  }

  std::optional<std::string> FindVariable(const std::string& name) const {
    const auto found = variables.find(name);
    return found == variables.end() ? std::nullopt
                                    : std::optional(found->second);
  }

  std::ostringstream out_stream_;
  std::ostringstream error_stream_;
  base::Random random_{7};
  const Environment environment_{
      .out = out_stream_,
      .error = error_stream_,
      .variable = [this](const char* name) { return FindVariable(name); },
      .exchange = [this](const std::string& address,
                         const http::Request& request,
                         base::Duration) { return Exchange(address, request); },
      .write_key =
          [this](const std::string& address,
                 const std::string& key,
                 const std::string& value) {
            written_keys.push_back({address, key, value});
            return write_result;
          },
      .sleep = [this](base::Duration pause) { slept += pause; },
      .clock =
          base::Clock(std::make_shared<base::ManualTime>(0, 1764691200000)),
      .random = random_,
      .serve =
          [this](const settings::DaemonSettings& settings) {
            served.push_back(settings);
            return 0;
          }};
};

}  // namespace medlarspread::cli

#endif  // MEDLARSPREAD_TESTS_CLI_FAKE_ENVIRONMENT_H_
