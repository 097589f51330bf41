// `medlarspread class set`: states or changes the targets of a class.

#ifndef MEDLARSPREAD_CLI_CLASS_SET_COMMAND_H_
#define MEDLARSPREAD_CLI_CLASS_SET_COMMAND_H_

#include <optional>
#include <string>

#include <cxxopts.hpp>

#include "src/cli/admin_client.h"
#include "src/cli/command_text.h"
#include "src/cli/environment.h"
#include "src/cli/exit_code.h"

namespace medlarspread::cli {

class ClassSetCommand {
 public:
  static constexpr CommandText kText = {
      "class set", "NAME",
      "State the targets of a class, or change some of them."};

  explicit ClassSetCommand(const Environment& environment)
      : environment_(environment) {}

  void AddOptions(cxxopts::Options& options) const;
  ExitCode Run(const cxxopts::ParseResult& arguments) const;

 private:
  // The targets in force, to fill in those that were not given. Says what is
  // wrong on the error stream; nothing then.
  std::optional<std::string> ReadTargets(const AdminClient& client,
                                         const std::string& name) const;

  const Environment& environment_;
};

}  // namespace medlarspread::cli

#endif  // MEDLARSPREAD_CLI_CLASS_SET_COMMAND_H_
