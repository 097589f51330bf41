// `medlarspread class set`: creates a class or changes its targets.

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
      "class set", "NAME", "Create a class, or change some of its targets."};

  explicit ClassSetCommand(const Environment& environment)
      : environment_(environment) {}

  void AddOptions(cxxopts::Options& options) const;
  ExitCode Run(const cxxopts::ParseResult& arguments) const;

 private:
  // Reads the current targets, which replace those that were not given. On
  // failure prints an error and returns nullopt.
  std::optional<std::string> ReadTargets(const AdminClient& client,
                                         const std::string& name) const;

  const Environment& environment_;
};

}  // namespace medlarspread::cli

#endif  // MEDLARSPREAD_CLI_CLASS_SET_COMMAND_H_
