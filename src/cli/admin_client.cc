// Options, authentication and requests of AdminClient.

#include "src/cli/admin_client.h"

#include <utility>

#include "src/cli/json_text.h"
#include "src/cli/reply_report.h"

namespace medlarspread::cli {

namespace {

constexpr const char* kAddressVariable = "MEDLARSPREAD_ADDRESS";
constexpr const char* kTokenVariable = "MEDLARSPREAD_TOKEN";
// In milliseconds. Longer than the longest time in which a daemon completes a
// change.
constexpr const char* kDefaultTimeout = "8000";
constexpr int kMaxTimeoutMilliseconds = 600000;

// Returns the option if given, else the environment variable, else "".
std::string OptionOrVariable(const Environment& environment,
                             const cxxopts::ParseResult& arguments,
                             const char* option,
                             const char* variable) {
  if (arguments.count(option) > 0) {
    return arguments[option].as<std::string>();
  }
  return environment.variable(variable).value_or("");
}

}  // namespace

void AdminClient::AddOptions(cxxopts::Options& options) {
  options.add_options()("address",
                        "ip:port of a daemon's [operators] listener (or set "
                        "MEDLARSPREAD_ADDRESS)",
                        cxxopts::value<std::string>(), "IP:PORT")(
      "token",
      "The operators' token (better: set MEDLARSPREAD_TOKEN, as other users of "
      "the VM can see arguments)",
      cxxopts::value<std::string>(),
      "TOKEN")("timeout-ms", "Timeout of each request, in milliseconds",
               cxxopts::value<int>()->default_value(kDefaultTimeout),
               "N")("json", "Print JSON");
}

std::optional<AdminClient> AdminClient::Make(
    const Environment& environment,
    const cxxopts::ParseResult& arguments) {
  std::string address =
      OptionOrVariable(environment, arguments, "address", kAddressVariable);
  if (address.empty()) {
    environment.error << "give --address or set " << kAddressVariable << "\n";
    return std::nullopt;
  }
  std::string token =
      OptionOrVariable(environment, arguments, "token", kTokenVariable);
  if (token.empty()) {
    environment.error << "set " << kTokenVariable << " or give --token\n";
    return std::nullopt;
  }
  const int timeout = arguments["timeout-ms"].as<int>();
  if (timeout < 1 || timeout > kMaxTimeoutMilliseconds) {
    environment.error << "--timeout-ms must be from 1 to "
                      << kMaxTimeoutMilliseconds << "\n";
    return std::nullopt;
  }
  return AdminClient(environment, std::move(address), std::move(token),
                     base::Milliseconds(timeout));
}

AdminClient::AdminClient(const Environment& environment,
                         std::string address,
                         std::string token,
                         base::Duration timeout)
    : environment_(environment),
      address_(std::move(address)),
      token_(std::move(token)),
      timeout_(timeout) {}

base::Result<http::Response> AdminClient::Send(http::Request request) const {
  request.headers["Authorization"] = "Bearer " + token_;
  return environment_.exchange(address_, request, timeout_);
}

ExitCode AdminClient::GetAndPrint(const std::string& path, bool is_json) const {
  http::Request request;
  request.path = path;
  const auto reply = Send(std::move(request));
  if (KindOf(reply) != ReplyKind::kOk) {
    return ReportFailure(environment_, reply);
  }
  const std::string& body = reply.value().body;
  environment_.out << (is_json ? body + "\n" : RenderJson(body));
  return ExitCode::kOk;
}

}  // namespace medlarspread::cli
