// Exit codes of the process. docs/OPERATING.md documents them.

#ifndef MEDLARSPREAD_CLI_EXIT_CODE_H_
#define MEDLARSPREAD_CLI_EXIT_CODE_H_

namespace medlarspread::cli {

enum class ExitCode : int {
  kOk = 0,
  kFailure = 1,
  // Invalid command line; nothing was attempted.
  kUsage = 2,
  // The daemon refused the request: nothing was run or changed.
  kRefused = 3,
  // The request may have been run, or the change may have been made.
  kUnknown = 4,
};

}  // namespace medlarspread::cli

#endif  // MEDLARSPREAD_CLI_EXIT_CODE_H_
