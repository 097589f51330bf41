// What the process tells its parent. docs/OPERATING.md lists the codes.

#ifndef MEDLARSPREAD_CLI_EXIT_CODE_H_
#define MEDLARSPREAD_CLI_EXIT_CODE_H_

namespace medlarspread::cli {

enum class ExitCode : int {
  kOk = 0,
  kFailure = 1,
  // The command line is wrong; nothing was tried.
  kUsage = 2,
  // The system refused: nothing was run or changed.
  kRefused = 3,
  // The request may have been run, or the change may have been made.
  kUnknown = 4,
};

}  // namespace medlarspread::cli

#endif  // MEDLARSPREAD_CLI_EXIT_CODE_H_
