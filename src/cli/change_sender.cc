// Retries with exponential backoff, and output of the outcome.

#include "src/cli/change_sender.h"

#include "src/base/json_string.h"
#include "src/cli/json_text.h"
#include "src/cli/reply_report.h"

namespace medlarspread::cli {

namespace {

constexpr int kMaxAttempts = 5;
constexpr base::Duration kInitialRetryDelay = base::Milliseconds(200);
constexpr int kChangeIdDigits = 16;

const char* OutcomeName(ReplyKind kind) {
  switch (kind) {
    case ReplyKind::kOk:
      return "accepted";
    case ReplyKind::kFailed:
    case ReplyKind::kRefused:
      return "refused";
    case ReplyKind::kUnknown:
      return "unknown";
  }
  return "unknown";
}

std::string RenderOutcome(const std::string& change_id,
                          const base::Result<http::Response>& reply) {
  const ReplyKind kind = KindOf(reply);
  std::string text = R"({"change_id":)" + base::JsonString(change_id) +
                     R"(,"outcome":")" + OutcomeName(kind) + "\"";
  const std::string body = reply.is_ok() ? reply.value().body : "";
  const auto revision = FindField(body, "revision");
  if (revision) {
    text += R"(,"revision":)" + *revision;
  }
  if (kind != ReplyKind::kOk) {
    text += R"(,"detail":)" + base::JsonString(DescribeReply(reply));
  }
  return text + "}\n";
}

}  // namespace

std::string ChangeSender::MakeChangeId(const Environment& environment) {
  return std::to_string(environment.clock.WallMilliseconds()) + "-" +
         environment.random.Hexadecimal(kChangeIdDigits);
}

ExitCode ChangeSender::Send(const http::Request& request,
                            const std::string& change_id,
                            bool is_json) const {
  // Printed before sending: if this command is interrupted, the identifier is
  // needed to repeat the change.
  environment_.error << "change id: " << change_id << "\n";
  const auto reply = SendUntilOutcomeKnown(request);
  const ReplyKind kind = KindOf(reply);
  if (is_json) {
    environment_.out << RenderOutcome(change_id, reply);
    return ExitCodeOf(kind);
  }
  if (kind == ReplyKind::kOk) {
    const auto revision = FindField(reply.value().body, "revision");
    environment_.out << "accepted as revision " << revision.value_or("?")
                     << "\n";
    return ExitCode::kOk;
  }
  environment_.error << DescribeReply(reply) << "\n";
  if (kind == ReplyKind::kUnknown) {
    environment_.error << "the change may have been made: repeat the command "
                          "with --change-id "
                       << change_id << "\n";
  }
  return ExitCodeOf(kind);
}

base::Result<http::Response> ChangeSender::SendUntilOutcomeKnown(
    const http::Request& request) const {
  // 1. A reply of 200 or 409 determines the outcome of the change.
  // 2. After an attempt with an unknown outcome, a later attempt that fails or
  //    is refused does not reveal whether the first one took effect: the
  //    outcome stays unknown.
  base::Result<http::Response> first_reply = client_.Send(request);
  base::Duration retry_delay = kInitialRetryDelay;
  for (int attempt = 1;
       attempt < kMaxAttempts && KindOf(first_reply) == ReplyKind::kUnknown;
       ++attempt) {
    environment_.error << DescribeReply(first_reply) << "; retrying\n";
    environment_.sleep(retry_delay);
    retry_delay *= 2;
    auto reply = client_.Send(request);
    const bool is_outcome_known =
        reply.is_ok() && (reply.value().status == http::kOk ||
                          reply.value().status == http::kConflict);
    if (is_outcome_known) {
      return reply;
    }
  }
  return first_reply;
}

}  // namespace medlarspread::cli
