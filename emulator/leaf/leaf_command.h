// The `leaf` and `leaves` commands: run emulated upstreams as a process.

#ifndef MEDLARSPREAD_EMULATOR_LEAF_LEAF_COMMAND_H_
#define MEDLARSPREAD_EMULATOR_LEAF_LEAF_COMMAND_H_

#include "emulator/support/stop_signal.h"

namespace medlarspread::emulator {

// `arguments` start with the command's name. Both return the exit status.
int RunLeaf(int count, char** arguments, StopSignal& stop);
int RunLeaves(int count, char** arguments, StopSignal& stop);

}  // namespace medlarspread::emulator

#endif  // MEDLARSPREAD_EMULATOR_LEAF_LEAF_COMMAND_H_
