// Builds a query request from the arguments and prints the response.

#include "src/cli/query_command.h"

#include "src/base/json_string.h"
#include "src/cli/json_text.h"
#include "src/cli/reply_report.h"

namespace medlarspread::cli {

namespace {

constexpr int kSuffixDigits = 16;
constexpr int kMaxDeadlineMilliseconds = 600000;
// The daemon answers by the deadline; this allows for the network delay of the
// response.
constexpr base::Duration kReplyMargin = base::Milliseconds(2000);

std::string MakeRequestId(const Environment& environment) {
  return std::to_string(environment.clock.WallMilliseconds()) + "-" +
         environment.random.Hexadecimal(kSuffixDigits);
}

std::string MakeBody(const cxxopts::ParseResult& arguments,
                     const std::string& request_id) {
  const bool is_idempotent = arguments.count("idempotent") > 0;
  return R"({"request_id":)" + base::JsonString(request_id) + R"(,"class":)" +
         base::JsonString(arguments["class"].as<std::string>()) +
         R"(,"deadline_ms":)" +
         std::to_string(arguments["deadline-ms"].as<int>()) +
         R"(,"idempotent":)" + (is_idempotent ? "true" : "false") +
         R"(,"query":)" + arguments[kPositionalOption].as<std::string>() + "}";
}

// Returns an error message, or "" if the arguments are valid.
std::string FindUsageProblem(const cxxopts::ParseResult& arguments) {
  if (arguments.count("address") == 0 || arguments.count("class") == 0) {
    return "--address and --class are required";
  }
  if (arguments.count(kPositionalOption) == 0 ||
      !IsJson(arguments[kPositionalOption].as<std::string>())) {
    return "the query must be one JSON value";
  }
  const int deadline = arguments["deadline-ms"].as<int>();
  if (deadline < 1 || deadline > kMaxDeadlineMilliseconds) {
    return "--deadline-ms must be from 1 to 600000";
  }
  return "";
}

}  // namespace

void QueryCommand::AddOptions(cxxopts::Options& options) const {
  options.add_options()("address", "ip:port of a daemon's [callers] listener",
                        cxxopts::value<std::string>(), "IP:PORT")(
      "class", "The class of the request", cxxopts::value<std::string>(),
      "NAME")("deadline-ms", "Deadline of the request, in milliseconds",
              cxxopts::value<int>()->default_value("1000"), "N")(
      "idempotent",
      "Allow the query to run more than once; by default it runs at most once")(
      "request-id", "Submit the request with this identifier again",
      cxxopts::value<std::string>(), "ID")("json", "Print JSON");
}

ExitCode QueryCommand::Run(const cxxopts::ParseResult& arguments) const {
  const std::string problem = FindUsageProblem(arguments);
  if (!problem.empty()) {
    environment_.error << problem << "\n";
    return ExitCode::kUsage;
  }
  const std::string request_id = arguments.count("request-id") > 0
                                     ? arguments["request-id"].as<std::string>()
                                     : MakeRequestId(environment_);
  http::Request request;
  request.method = "POST";
  request.path = "/v1/query";
  request.body = MakeBody(arguments, request_id);
  // The HTTP library must not resend a request that may run at most once.
  request.is_sent_once = arguments.count("idempotent") == 0;
  const base::Duration deadline =
      base::Milliseconds(arguments["deadline-ms"].as<int>());
  const auto reply = environment_.exchange(
      arguments["address"].as<std::string>(), request, deadline + kReplyMargin);
  if (reply.is_ok() && arguments.count("json") > 0) {
    environment_.out << reply.value().body << "\n";
    return ExitCodeOf(KindOf(reply));
  }
  if (KindOf(reply) != ReplyKind::kOk) {
    environment_.error << "request id: " << request_id << "\n";
    return ReportFailure(environment_, reply);
  }
  environment_.out << RenderJson(reply.value().body);
  if (FindField(reply.value().body, "coverage.is_partial") == "true") {
    environment_.error << "NOTE: this answer is partial\n";
  }
  return ExitCode::kOk;
}

}  // namespace medlarspread::cli
