// The command line of the one binary.

#ifndef MEDLARSPREAD_CLI_MAIN_H_
#define MEDLARSPREAD_CLI_MAIN_H_

#include "src/cli/environment.h"

namespace medlarspread::cli {

// Runs the command that the arguments name. `serve` runs the daemon. Returns
// the exit status of the process, see ExitCode.
int Main(int argument_count, const char* const* arguments, Serve serve);

}  // namespace medlarspread::cli

#endif  // MEDLARSPREAD_CLI_MAIN_H_
