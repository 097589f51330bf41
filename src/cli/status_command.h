// `medlarspread status`: prints the system status as one daemon sees it.

#ifndef MEDLARSPREAD_CLI_STATUS_COMMAND_H_
#define MEDLARSPREAD_CLI_STATUS_COMMAND_H_

#include <cxxopts.hpp>

#include "src/cli/command_text.h"
#include "src/cli/environment.h"
#include "src/cli/exit_code.h"

namespace medlarspread::cli {

class StatusCommand {
 public:
  static constexpr CommandText kText = {
      "status", "",
      "Show live VMs, the revision in force on each, upstreams and queues."};

  explicit StatusCommand(const Environment& environment)
      : environment_(environment) {}

  void AddOptions(cxxopts::Options& options) const;
  ExitCode Run(const cxxopts::ParseResult& arguments) const;

 private:
  const Environment& environment_;
};

}  // namespace medlarspread::cli

#endif  // MEDLARSPREAD_CLI_STATUS_COMMAND_H_
