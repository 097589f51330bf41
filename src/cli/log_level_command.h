// `medlarspread log-level`: sets the log level of a running daemon.

#ifndef MEDLARSPREAD_CLI_LOG_LEVEL_COMMAND_H_
#define MEDLARSPREAD_CLI_LOG_LEVEL_COMMAND_H_

#include <cxxopts.hpp>

#include "src/cli/command_text.h"
#include "src/cli/environment.h"
#include "src/cli/exit_code.h"

namespace medlarspread::cli {

class LogLevelCommand {
 public:
  static constexpr CommandText kText = {
      "log-level", "LEVEL",
      "Set the log level of a running daemon: debug, info, warning or error."};

  explicit LogLevelCommand(const Environment& environment)
      : environment_(environment) {}

  void AddOptions(cxxopts::Options& options) const;
  ExitCode Run(const cxxopts::ParseResult& arguments) const;

 private:
  const Environment& environment_;
};

}  // namespace medlarspread::cli

#endif  // MEDLARSPREAD_CLI_LOG_LEVEL_COMMAND_H_
