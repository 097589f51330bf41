// `medlarspread serve`: runs the daemon.

#ifndef MEDLARSPREAD_CLI_SERVE_COMMAND_H_
#define MEDLARSPREAD_CLI_SERVE_COMMAND_H_

#include <cxxopts.hpp>

#include "src/cli/command_text.h"
#include "src/cli/environment.h"
#include "src/cli/exit_code.h"

namespace medlarspread::cli {

class ServeCommand {
 public:
  static constexpr CommandText kText = {
      "serve", "FILE",
      "Run the daemon with the settings in FILE until it is stopped."};

  explicit ServeCommand(const Environment& environment)
      : environment_(environment) {}

  void AddOptions(cxxopts::Options& options) const;
  ExitCode Run(const cxxopts::ParseResult& arguments) const;

 private:
  const Environment& environment_;
};

}  // namespace medlarspread::cli

#endif  // MEDLARSPREAD_CLI_SERVE_COMMAND_H_
