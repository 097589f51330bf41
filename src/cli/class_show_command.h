// `medlarspread class show`: prints the targets of one class.

#ifndef MEDLARSPREAD_CLI_CLASS_SHOW_COMMAND_H_
#define MEDLARSPREAD_CLI_CLASS_SHOW_COMMAND_H_

#include <cxxopts.hpp>

#include "src/cli/command_text.h"
#include "src/cli/environment.h"
#include "src/cli/exit_code.h"

namespace medlarspread::cli {

class ClassShowCommand {
 public:
  static constexpr CommandText kText = {"class show", "NAME",
                                        "Show the targets of one class."};

  explicit ClassShowCommand(const Environment& environment)
      : environment_(environment) {}

  void AddOptions(cxxopts::Options& options) const;
  ExitCode Run(const cxxopts::ParseResult& arguments) const;

 private:
  const Environment& environment_;
};

}  // namespace medlarspread::cli

#endif  // MEDLARSPREAD_CLI_CLASS_SHOW_COMMAND_H_
