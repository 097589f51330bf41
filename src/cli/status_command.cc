// Requests the status of one daemon and prints it.

#include "src/cli/status_command.h"

#include "src/cli/admin_client.h"

namespace medlarspread::cli {

void StatusCommand::AddOptions(cxxopts::Options& options) const {
  AdminClient::AddOptions(options);
}

ExitCode StatusCommand::Run(const cxxopts::ParseResult& arguments) const {
  const auto client = AdminClient::Make(environment_, arguments);
  if (!client) {
    return ExitCode::kUsage;
  }
  return client->GetAndPrint("/v1/status", arguments.count("json") > 0);
}

}  // namespace medlarspread::cli
