// `medlarspread report burn`: prints the report on error budget burn.

#ifndef MEDLARSPREAD_CLI_REPORT_BURN_COMMAND_H_
#define MEDLARSPREAD_CLI_REPORT_BURN_COMMAND_H_

#include <cxxopts.hpp>

#include "src/cli/command_text.h"
#include "src/cli/environment.h"
#include "src/cli/exit_code.h"

namespace medlarspread::cli {

class ReportBurnCommand {
 public:
  static constexpr CommandText kText = {
      "report burn", "",
      "Show how much of each class's error budget is spent."};

  explicit ReportBurnCommand(const Environment& environment)
      : environment_(environment) {}

  void AddOptions(cxxopts::Options& options) const;
  ExitCode Run(const cxxopts::ParseResult& arguments) const;

 private:
  const Environment& environment_;
};

}  // namespace medlarspread::cli

#endif  // MEDLARSPREAD_CLI_REPORT_BURN_COMMAND_H_
