// What a command says, and exits with, when it did not get what it asked for.

#ifndef MEDLARSPREAD_CLI_REPLY_REPORT_H_
#define MEDLARSPREAD_CLI_REPLY_REPORT_H_

#include <string>

#include "src/base/result.h"
#include "src/cli/environment.h"
#include "src/cli/exit_code.h"

namespace medlarspread::cli {

// How a request ended, whatever it was for.
enum class ReplyKind {
  kOk,
  // Wrong in itself, not allowed, or no daemon there: nothing was done.
  kFailed,
  // Not done now; it may be tried again later.
  kRefused,
  // It may have been done.
  kUnknown,
};

ReplyKind KindOf(const base::Result<http::Response>& reply);

ExitCode ExitCodeOf(ReplyKind kind);

// One line that says what went wrong, where, and when to come back.
std::string DescribeReply(const base::Result<http::Response>& reply);

// Prints a reply that is not kOk to the error stream. Returns its exit code.
ExitCode ReportFailure(const Environment& environment,
                       const base::Result<http::Response>& reply);

}  // namespace medlarspread::cli

#endif  // MEDLARSPREAD_CLI_REPLY_REPORT_H_
