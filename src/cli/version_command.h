// `medlarspread version`: prints the version.

#ifndef MEDLARSPREAD_CLI_VERSION_COMMAND_H_
#define MEDLARSPREAD_CLI_VERSION_COMMAND_H_

#include <cxxopts.hpp>

#include "src/cli/command_text.h"
#include "src/cli/environment.h"
#include "src/cli/exit_code.h"

namespace medlarspread::cli {

class VersionCommand {
 public:
  static constexpr CommandText kText = {"version", "", "Print the version."};

  explicit VersionCommand(const Environment& environment)
      : environment_(environment) {}

  void AddOptions(cxxopts::Options& options) const;
  ExitCode Run(const cxxopts::ParseResult& arguments) const;

 private:
  const Environment& environment_;
};

}  // namespace medlarspread::cli

#endif  // MEDLARSPREAD_CLI_VERSION_COMMAND_H_
