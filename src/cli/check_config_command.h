// `medlarspread check-config`: validates a settings file without starting the
// daemon.

#ifndef MEDLARSPREAD_CLI_CHECK_CONFIG_COMMAND_H_
#define MEDLARSPREAD_CLI_CHECK_CONFIG_COMMAND_H_

#include <cxxopts.hpp>

#include "src/cli/command_text.h"
#include "src/cli/environment.h"
#include "src/cli/exit_code.h"

namespace medlarspread::cli {

class CheckConfigCommand {
 public:
  static constexpr CommandText kText = {
      "check-config", "FILE",
      "Validate a settings file and print the resulting settings."};

  explicit CheckConfigCommand(const Environment& environment)
      : environment_(environment) {}

  void AddOptions(cxxopts::Options& options) const;
  ExitCode Run(const cxxopts::ParseResult& arguments) const;

 private:
  const Environment& environment_;
};

}  // namespace medlarspread::cli

#endif  // MEDLARSPREAD_CLI_CHECK_CONFIG_COMMAND_H_
