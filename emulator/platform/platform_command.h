// The `platform` command: runs the emulated platform as a process.

#ifndef MEDLARSPREAD_EMULATOR_PLATFORM_PLATFORM_COMMAND_H_
#define MEDLARSPREAD_EMULATOR_PLATFORM_PLATFORM_COMMAND_H_

#include "emulator/support/stop_signal.h"

namespace medlarspread::emulator {

// `arguments` start with the command's name. Returns the exit status.
int RunPlatform(int count, char** arguments, StopSignal& stop);

}  // namespace medlarspread::emulator

#endif  // MEDLARSPREAD_EMULATOR_PLATFORM_PLATFORM_COMMAND_H_
