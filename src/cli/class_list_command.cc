// Requests all classes and prints them as a table.

#include "src/cli/class_list_command.h"

#include "src/cli/admin_client.h"

namespace medlarspread::cli {

void ClassListCommand::AddOptions(cxxopts::Options& options) const {
  AdminClient::AddOptions(options);
}

ExitCode ClassListCommand::Run(const cxxopts::ParseResult& arguments) const {
  const auto client = AdminClient::Make(environment_, arguments);
  if (!client) {
    return ExitCode::kUsage;
  }
  return client->GetAndPrint("/v1/classes", arguments.count("json") > 0);
}

}  // namespace medlarspread::cli
