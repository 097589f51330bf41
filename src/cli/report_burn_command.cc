// Requests the burn report in the given format and prints it unchanged.

#include "src/cli/report_burn_command.h"

#include "src/cli/admin_client.h"
#include "src/cli/reply_report.h"

namespace medlarspread::cli {

void ReportBurnCommand::AddOptions(cxxopts::Options& options) const {
  options.add_options()("format", "text, json or html",
                        cxxopts::value<std::string>()->default_value("text"),
                        "FORMAT");
  AdminClient::AddOptions(options);
}

ExitCode ReportBurnCommand::Run(const cxxopts::ParseResult& arguments) const {
  const std::string format = arguments.count("json") > 0
                                 ? "json"
                                 : arguments["format"].as<std::string>();
  if (format != "text" && format != "json" && format != "html") {
    environment_.error << "--format must be text, json or html\n";
    return ExitCode::kUsage;
  }
  const auto client = AdminClient::Make(environment_, arguments);
  if (!client) {
    return ExitCode::kUsage;
  }
  http::Request request;
  request.path = "/v1/burn";
  request.parameters["format"] = format;
  const auto reply = client->Send(std::move(request));
  if (KindOf(reply) != ReplyKind::kOk) {
    return ReportFailure(environment_, reply);
  }
  const std::string& body = reply.value().body;
  environment_.out << body;
  if (body.empty() || body.back() != '\n') {
    environment_.out << "\n";
  }
  return ExitCode::kOk;
}

}  // namespace medlarspread::cli
