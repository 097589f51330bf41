// Prints the version.

#include "src/cli/version_command.h"

#include "src/cli/version.h"

namespace medlarspread::cli {

void VersionCommand::AddOptions(cxxopts::Options& options) const {
  options.add_options()("json", "Print JSON");
}

ExitCode VersionCommand::Run(const cxxopts::ParseResult& arguments) const {
  if (arguments.count("json") > 0) {
    environment_.out << R"({"version":")" << kVersion << "\"}\n";
  } else {
    environment_.out << "medlarspread " << kVersion << "\n";
  }
  return ExitCode::kOk;
}

}  // namespace medlarspread::cli
