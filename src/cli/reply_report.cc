// Classification and description of replies.

#include "src/cli/reply_report.h"

#include "src/base/name_table.h"
#include "src/cli/json_text.h"

namespace medlarspread::cli {

namespace {

using base::ErrorCode;

constexpr base::NameTable<ReplyKind, 4> kReplyKindNames{{{
    {ReplyKind::kOk, "ok"},
    {ReplyKind::kFailed, "failed"},
    {ReplyKind::kRefused, "refused"},
    {ReplyKind::kUnknown, "outcome unknown"},
}}};

std::string DescribeBody(const std::string& body) {
  std::string text;
  for (const char* field : {"error", "field", "detail"}) {
    const auto value = FindField(body, field);
    if (value && !value->empty()) {
      text += (text.empty() ? "" : ": ") + *value;
    }
  }
  for (const char* field : {"step", "peer", "winner_change_id", "revision"}) {
    const auto value = FindField(body, field);
    if (value && !value->empty()) {
      text += std::string(", ") + field + " " + *value;
    }
  }
  const auto retry = FindField(body, "retry_after_ms");
  if (retry) {
    text += "; retry in " + *retry + " ms";
  }
  return text;
}

}  // namespace

ReplyKind KindOf(const base::Result<http::Response>& reply) {
  if (!reply.is_ok()) {
    const bool is_unsent = reply.error().code == ErrorCode::kUnreachable ||
                           reply.error().code == ErrorCode::kInvalidArgument;
    return is_unsent ? ReplyKind::kFailed : ReplyKind::kUnknown;
  }
  switch (reply.value().status) {
    case http::kOk:
      return ReplyKind::kOk;
    case http::kConflict:
    case http::kTooManyRequests:
    case http::kServiceUnavailable:
      return ReplyKind::kRefused;
    case http::kInternalError:
    case http::kGatewayTimeout:
      return ReplyKind::kUnknown;
    default:
      return ReplyKind::kFailed;
  }
}

ExitCode ExitCodeOf(ReplyKind kind) {
  switch (kind) {
    case ReplyKind::kOk:
      return ExitCode::kOk;
    case ReplyKind::kFailed:
      return ExitCode::kFailure;
    case ReplyKind::kRefused:
      return ExitCode::kRefused;
    case ReplyKind::kUnknown:
      return ExitCode::kUnknown;
  }
  return ExitCode::kFailure;
}

std::string DescribeReply(const base::Result<http::Response>& reply) {
  const std::string kind = kReplyKindNames.NameOf(KindOf(reply));
  if (!reply.is_ok()) {
    return kind + ": " + reply.error().ToString();
  }
  const std::string status = "HTTP " + std::to_string(reply.value().status);
  const std::string body = DescribeBody(reply.value().body);
  return kind + " (" + status + ")" + (body.empty() ? "" : ": " + body);
}

ExitCode ReportFailure(const Environment& environment,
                       const base::Result<http::Response>& reply) {
  environment.error << DescribeReply(reply) << "\n";
  return ExitCodeOf(KindOf(reply));
}

}  // namespace medlarspread::cli
