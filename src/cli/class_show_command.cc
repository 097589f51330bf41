// Reads one class and prints it.

#include "src/cli/class_show_command.h"

#include "src/cli/admin_client.h"

namespace medlarspread::cli {

void ClassShowCommand::AddOptions(cxxopts::Options& options) const {
  AdminClient::AddOptions(options);
}

ExitCode ClassShowCommand::Run(const cxxopts::ParseResult& arguments) const {
  if (arguments.count(kPositionalOption) == 0) {
    environment_.error << "NAME is missing\n";
    return ExitCode::kUsage;
  }
  const auto client = AdminClient::Make(environment_, arguments);
  if (!client) {
    return ExitCode::kUsage;
  }
  return client->GetAndPrint(
      "/v1/classes/" + arguments[kPositionalOption].as<std::string>(),
      arguments.count("json") > 0);
}

}  // namespace medlarspread::cli
