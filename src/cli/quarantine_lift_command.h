// `medlarspread quarantine lift`: lifts the quarantine of a request that was
// found to crash the leaves that run it.

#ifndef MEDLARSPREAD_CLI_QUARANTINE_LIFT_COMMAND_H_
#define MEDLARSPREAD_CLI_QUARANTINE_LIFT_COMMAND_H_

#include <cxxopts.hpp>

#include "src/cli/command_text.h"
#include "src/cli/environment.h"
#include "src/cli/exit_code.h"

namespace medlarspread::cli {

// Writes to the store directly, because daemons with the opaque interface have
// no administration API.
class QuarantineLiftCommand {
 public:
  static constexpr CommandText kText = {
      "quarantine lift", "FINGERPRINT",
      "Lift the quarantine of a request that was found to crash leaves."};

  explicit QuarantineLiftCommand(const Environment& environment)
      : environment_(environment) {}

  void AddOptions(cxxopts::Options& options) const;
  ExitCode Run(const cxxopts::ParseResult& arguments) const;

 private:
  const Environment& environment_;
};

}  // namespace medlarspread::cli

#endif  // MEDLARSPREAD_CLI_QUARANTINE_LIFT_COMMAND_H_
