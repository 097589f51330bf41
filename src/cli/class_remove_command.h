// `medlarspread class remove`: removes a class and its targets.

#ifndef MEDLARSPREAD_CLI_CLASS_REMOVE_COMMAND_H_
#define MEDLARSPREAD_CLI_CLASS_REMOVE_COMMAND_H_

#include <cxxopts.hpp>

#include "src/cli/command_text.h"
#include "src/cli/environment.h"
#include "src/cli/exit_code.h"

namespace medlarspread::cli {

class ClassRemoveCommand {
 public:
  static constexpr CommandText kText = {
      "class remove", "NAME",
      "Remove a class. Its requests are refused from then on."};

  explicit ClassRemoveCommand(const Environment& environment)
      : environment_(environment) {}

  void AddOptions(cxxopts::Options& options) const;
  ExitCode Run(const cxxopts::ParseResult& arguments) const;

 private:
  const Environment& environment_;
};

}  // namespace medlarspread::cli

#endif  // MEDLARSPREAD_CLI_CLASS_REMOVE_COMMAND_H_
