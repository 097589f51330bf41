// Maps HTTP replies to outcomes, exit codes and error messages.

#ifndef MEDLARSPREAD_CLI_REPLY_REPORT_H_
#define MEDLARSPREAD_CLI_REPLY_REPORT_H_

#include <string>

#include "src/base/result.h"
#include "src/cli/environment.h"
#include "src/cli/exit_code.h"

namespace medlarspread::cli {

// Outcome of any request.
enum class ReplyKind {
  kOk,
  // Invalid, not authorized, or the daemon was unreachable: nothing was done.
  kFailed,
  // Not done; the request may be retried later.
  kRefused,
  // The request may have been executed.
  kUnknown,
};

ReplyKind KindOf(const base::Result<http::Response>& reply);

ExitCode ExitCodeOf(ReplyKind kind);

// Returns one line with the error, the step and peer where it occurred, and
// when to retry.
std::string DescribeReply(const base::Result<http::Response>& reply);

// Prints the description of a reply that is not kOk to the error stream.
// Returns its exit code.
ExitCode ReportFailure(const Environment& environment,
                       const base::Result<http::Response>& reply);

}  // namespace medlarspread::cli

#endif  // MEDLARSPREAD_CLI_REPLY_REPORT_H_
