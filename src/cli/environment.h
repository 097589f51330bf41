// The external dependencies of the commands (output, network, clock and so on),
// which tests replace by fakes.

#ifndef MEDLARSPREAD_CLI_ENVIRONMENT_H_
#define MEDLARSPREAD_CLI_ENVIRONMENT_H_

#include <functional>
#include <optional>
#include <ostream>
#include <string>

#include "src/base/clock.h"
#include "src/base/random.h"
#include "src/base/result.h"
#include "src/http/message.h"
#include "src/settings/daemon_settings.h"

namespace medlarspread::cli {

// Sends one HTTP request to "ip:port" and waits for the response. Returns the
// errors of http::Client::Send.
using Exchange =
    std::function<base::Result<http::Response>(const std::string& address,
                                               const http::Request& request,
                                               base::Duration timeout)>;

// Writes a key to the store at `address` and waits for the result.
using WriteKey = std::function<base::Status(const std::string& address,
                                            const std::string& key,
                                            const std::string& value)>;

// Runs the daemon until it is stopped; returns the exit status.
using Serve = std::function<int(const settings::DaemonSettings&)>;

struct Environment {
  // Results are written to `out`, errors and notes to `error`.
  std::ostream& out;
  std::ostream& error;
  std::function<std::optional<std::string>(const char* name)> variable;
  Exchange exchange;
  WriteKey write_key;
  std::function<void(base::Duration)> sleep;
  base::Clock clock;
  base::Random& random;
  Serve serve;
};

}  // namespace medlarspread::cli

#endif  // MEDLARSPREAD_CLI_ENVIRONMENT_H_
