// HTTP client for the administration API of one daemon.

#ifndef MEDLARSPREAD_CLI_ADMIN_CLIENT_H_
#define MEDLARSPREAD_CLI_ADMIN_CLIENT_H_

#include <optional>
#include <string>

#include <cxxopts.hpp>

#include "src/base/clock.h"
#include "src/base/result.h"
#include "src/cli/environment.h"
#include "src/cli/exit_code.h"

namespace medlarspread::cli {

class AdminClient {
 public:
  // Adds --address, --token, --timeout-ms and --json.
  static void AddOptions(cxxopts::Options& options);

  // Reads these options; the environment variables MEDLARSPREAD_ADDRESS and
  // MEDLARSPREAD_TOKEN are the defaults. Prints an error and returns nullopt if
  // a value is missing or invalid.
  static std::optional<AdminClient> Make(const Environment& environment,
                                         const cxxopts::ParseResult& arguments);

  // Adds the Authorization header and sends the request.
  base::Result<http::Response> Send(http::Request request) const;

  // Sends GET `path` and prints the response, as JSON or as readable text. On
  // failure prints the error instead.
  ExitCode GetAndPrint(const std::string& path, bool is_json) const;

 private:
  AdminClient(const Environment& environment,
              std::string address,
              std::string token,
              base::Duration timeout);

  const Environment& environment_;
  std::string address_;
  std::string token_;
  base::Duration timeout_;
};

}  // namespace medlarspread::cli

#endif  // MEDLARSPREAD_CLI_ADMIN_CLIENT_H_
