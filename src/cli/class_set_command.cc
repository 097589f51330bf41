// Takes the targets from the arguments, fills in missing ones from the current
// targets of the class, and sends the change.

#include "src/cli/class_set_command.h"

#include <cmath>
#include <utility>
#include <vector>

#include <cpprest/json.h>

#include "src/cli/change_sender.h"
#include "src/cli/class_targets_text.h"
#include "src/cli/reply_report.h"

namespace medlarspread::cli {

namespace {

using web::json::value;

// A numeric target: its option and its field in the API.
struct NumberOption {
  const char* option;
  const char* field;
  const char* help;
};

constexpr NumberOption kNumberOptions[] = {
    {"latency-ms", "latency_ms", "Latency target of answers, in milliseconds"},
    {"percentile", "percentile",
     "Percentage of answers that must meet the latency target"},
    {"coverage", "coverage",
     "Fraction of the key space that an answer must cover, 0 to 1"},
    {"coverage-percentile", "coverage_percentile",
     "Percentage of answers that must meet the coverage target"},
};

bool HasAllTargets(const cxxopts::ParseResult& arguments) {
  bool has_all = arguments.count("collection") > 0;
  for (const NumberOption& row : kNumberOptions) {
    has_all = has_all && arguments.count(row.option) > 0;
  }
  return has_all;
}

// Writes the targets given as options into `targets`. Returns the name of an
// option that is not a finite number, or nullptr.
const char* Merge(const cxxopts::ParseResult& arguments, value& targets) {
  if (arguments.count("collection") > 0) {
    targets["collection"] =
        value::string(arguments["collection"].as<std::string>());
  }
  for (const NumberOption& row : kNumberOptions) {
    if (arguments.count(row.option) == 0) {
      continue;
    }
    const double number = arguments[row.option].as<double>();
    if (!std::isfinite(number)) {
      return row.option;
    }
    const bool is_whole = number == std::floor(number) && number < 1e15;
    targets[row.field] = is_whole
                             ? value::number(static_cast<std::int64_t>(number))
                             : value::number(number);
  }
  return nullptr;
}

}  // namespace

void ClassSetCommand::AddOptions(cxxopts::Options& options) const {
  options.add_options()("collection", "The collection that the class reads",
                        cxxopts::value<std::string>(), "NAME");
  for (const NumberOption& row : kNumberOptions) {
    options.add_options()(row.option, row.help, cxxopts::value<double>(), "N");
  }
  options.add_options()(
      "expected-revision",
      "Reject the change if another revision is in force. Defaults to the "
      "revision that was read if some targets are omitted",
      cxxopts::value<std::int64_t>(),
      "N")("change-id", "Repeat the change with this identifier",
           cxxopts::value<std::string>(), "ID");
  AdminClient::AddOptions(options);
}

ExitCode ClassSetCommand::Run(const cxxopts::ParseResult& arguments) const {
  if (arguments.count(kPositionalOption) == 0) {
    environment_.error << "NAME is missing\n";
    return ExitCode::kUsage;
  }
  const auto client = AdminClient::Make(environment_, arguments);
  if (!client) {
    return ExitCode::kUsage;
  }
  const auto& name = arguments[kPositionalOption].as<std::string>();
  value body = value::object();
  if (!HasAllTargets(arguments)) {
    const auto targets = ReadTargets(*client, name);
    if (!targets) {
      return ExitCode::kFailure;
    }
    body = value::parse(*targets);
  }
  if (const char* option = Merge(arguments, body)) {
    environment_.error << "--" << option << " must be a finite number\n";
    return ExitCode::kUsage;
  }
  if (arguments.count("expected-revision") > 0) {
    body["expected_revision"] =
        value::number(arguments["expected-revision"].as<std::int64_t>());
  }
  const std::string change_id = arguments.count("change-id") > 0
                                    ? arguments["change-id"].as<std::string>()
                                    : ChangeSender::MakeChangeId(environment_);
  body["change_id"] = value::string(change_id);
  http::Request request;
  request.method = "PUT";
  request.path = "/v1/classes/" + name;
  request.body = body.serialize();
  return ChangeSender(environment_, *client)
      .Send(request, change_id, arguments.count("json") > 0);
}

std::optional<std::string> ClassSetCommand::ReadTargets(
    const AdminClient& client,
    const std::string& name) const {
  http::Request request;
  request.path = "/v1/classes/" + name;
  const auto reply = client.Send(std::move(request));
  if (reply.is_ok() && reply.value().status == http::kNotFound) {
    environment_.error << "class " << name
                       << " does not exist yet: give --collection";
    for (const NumberOption& row : kNumberOptions) {
      environment_.error << ", --" << row.option;
    }
    environment_.error << "\n";
    return std::nullopt;
  }
  if (KindOf(reply) != ReplyKind::kOk) {
    ReportFailure(environment_, reply);
    return std::nullopt;
  }
  auto targets = MakeChangeFromResponse(reply.value().body, name);
  if (!targets) {
    environment_.error << "the daemon's answer can't be read\n";
  }
  return targets;
}

}  // namespace medlarspread::cli
