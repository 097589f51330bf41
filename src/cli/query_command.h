// `medlarspread query`: sends one request to the caller API.

#ifndef MEDLARSPREAD_CLI_QUERY_COMMAND_H_
#define MEDLARSPREAD_CLI_QUERY_COMMAND_H_

#include <cxxopts.hpp>

#include "src/cli/command_text.h"
#include "src/cli/environment.h"
#include "src/cli/exit_code.h"

namespace medlarspread::cli {

class QueryCommand {
 public:
  static constexpr CommandText kText = {
      "query", "JSON",
      "Send one query as a caller would and print the answer."};

  explicit QueryCommand(const Environment& environment)
      : environment_(environment) {}

  void AddOptions(cxxopts::Options& options) const;
  ExitCode Run(const cxxopts::ParseResult& arguments) const;

 private:
  const Environment& environment_;
};

}  // namespace medlarspread::cli

#endif  // MEDLARSPREAD_CLI_QUERY_COMMAND_H_
