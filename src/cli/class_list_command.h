// `medlarspread class list`: prints the targets of all classes.

#ifndef MEDLARSPREAD_CLI_CLASS_LIST_COMMAND_H_
#define MEDLARSPREAD_CLI_CLASS_LIST_COMMAND_H_

#include <cxxopts.hpp>

#include "src/cli/command_text.h"
#include "src/cli/environment.h"
#include "src/cli/exit_code.h"

namespace medlarspread::cli {

class ClassListCommand {
 public:
  static constexpr CommandText kText = {"class list", "",
                                        "Show the targets of all classes."};

  explicit ClassListCommand(const Environment& environment)
      : environment_(environment) {}

  void AddOptions(cxxopts::Options& options) const;
  ExitCode Run(const cxxopts::ParseResult& arguments) const;

 private:
  const Environment& environment_;
};

}  // namespace medlarspread::cli

#endif  // MEDLARSPREAD_CLI_CLASS_LIST_COMMAND_H_
