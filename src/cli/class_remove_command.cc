// Sends the DELETE request for a class.

#include "src/cli/class_remove_command.h"

#include "src/cli/admin_client.h"
#include "src/cli/change_sender.h"

namespace medlarspread::cli {

void ClassRemoveCommand::AddOptions(cxxopts::Options& options) const {
  options.add_options()("change-id", "Repeat the removal with this identifier",
                        cxxopts::value<std::string>(), "ID");
  AdminClient::AddOptions(options);
}

ExitCode ClassRemoveCommand::Run(const cxxopts::ParseResult& arguments) const {
  if (arguments.count(kPositionalOption) == 0) {
    environment_.error << "NAME is missing\n";
    return ExitCode::kUsage;
  }
  const auto client = AdminClient::Make(environment_, arguments);
  if (!client) {
    return ExitCode::kUsage;
  }
  const std::string change_id = arguments.count("change-id") > 0
                                    ? arguments["change-id"].as<std::string>()
                                    : ChangeSender::MakeChangeId(environment_);
  http::Request request;
  request.method = "DELETE";
  request.path =
      "/v1/classes/" + arguments[kPositionalOption].as<std::string>();
  request.parameters["change_id"] = change_id;
  return ChangeSender(environment_, *client)
      .Send(request, change_id, arguments.count("json") > 0);
}

}  // namespace medlarspread::cli
