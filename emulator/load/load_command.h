// The `load` command: an open-loop load run as a process.

#ifndef MEDLARSPREAD_EMULATOR_LOAD_LOAD_COMMAND_H_
#define MEDLARSPREAD_EMULATOR_LOAD_LOAD_COMMAND_H_

#include "emulator/support/stop_signal.h"

namespace medlarspread::emulator {

// `arguments` start with the command's name. Returns the exit status: 0, or
// 3 if an answer violated a guarantee, or 1 if the options are invalid.
int RunLoad(int count, char** arguments, StopSignal& stop);

}  // namespace medlarspread::emulator

#endif  // MEDLARSPREAD_EMULATOR_LOAD_LOAD_COMMAND_H_
