// Sends the new log level to the daemon.

#include "src/cli/log_level_command.h"

#include "src/base/json_string.h"
#include "src/base/log.h"
#include "src/cli/admin_client.h"
#include "src/cli/reply_report.h"

namespace medlarspread::cli {

void LogLevelCommand::AddOptions(cxxopts::Options& options) const {
  AdminClient::AddOptions(options);
}

ExitCode LogLevelCommand::Run(const cxxopts::ParseResult& arguments) const {
  const std::string level = arguments.count(kPositionalOption) > 0
                                ? arguments[kPositionalOption].as<std::string>()
                                : "";
  if (!base::LogLevelFromName(level)) {
    environment_.error << "LEVEL must be debug, info, warning or error\n";
    return ExitCode::kUsage;
  }
  const auto client = AdminClient::Make(environment_, arguments);
  if (!client) {
    return ExitCode::kUsage;
  }
  http::Request request;
  request.method = "PUT";
  request.path = "/v1/log-level";
  request.body = R"({"level":)" + base::JsonString(level) + "}";
  const auto reply = client->Send(std::move(request));
  if (KindOf(reply) != ReplyKind::kOk) {
    return ReportFailure(environment_, reply);
  }
  environment_.out << (arguments.count("json") > 0
                           ? reply.value().body
                           : "the log level is " + level)
                   << "\n";
  return ExitCode::kOk;
}

}  // namespace medlarspread::cli
