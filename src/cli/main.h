// Entry point of the command-line interface.

#ifndef MEDLARSPREAD_CLI_MAIN_H_
#define MEDLARSPREAD_CLI_MAIN_H_

#include "src/cli/environment.h"

namespace medlarspread::cli {

// Runs the command given by the arguments and returns the exit status of the
// process (see ExitCode). `serve` runs the daemon.
int Main(int argument_count, const char* const* arguments, Serve serve);

}  // namespace medlarspread::cli

#endif  // MEDLARSPREAD_CLI_MAIN_H_
