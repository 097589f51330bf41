// The `hosted` command: runs emulations of the store and the leaves of the
// users' platform in one process, with a configuration of three routes.

#ifndef MEDLARSPREAD_EMULATOR_HOSTED_HOSTED_COMMAND_H_
#define MEDLARSPREAD_EMULATOR_HOSTED_HOSTED_COMMAND_H_

#include "emulator/support/stop_signal.h"

namespace medlarspread::emulator {

// `arguments` start with the command's name. Returns the exit status.
int RunHosted(int count, char** arguments, StopSignal& stop);

}  // namespace medlarspread::emulator

#endif  // MEDLARSPREAD_EMULATOR_HOSTED_HOSTED_COMMAND_H_
