// `medlarspread_emulator fleet`: simulates load patterns in virtual time.

#ifndef MEDLARSPREAD_EMULATOR_FLEET_FLEET_COMMAND_H_
#define MEDLARSPREAD_EMULATOR_FLEET_FLEET_COMMAND_H_

#include "emulator/support/stop_signal.h"

namespace medlarspread::emulator {

// Returns the exit code: 0, 1 if a run violated an invariant, 2 for a usage
// error.
int RunFleet(int count, char** arguments, StopSignal& stop);

}  // namespace medlarspread::emulator

#endif  // MEDLARSPREAD_EMULATOR_FLEET_FLEET_COMMAND_H_
