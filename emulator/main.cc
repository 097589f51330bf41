// Entry point of the program that emulates the systems outside this project.
// The first argument selects the command.

#include <array>
#include <exception>
#include <iostream>
#include <string_view>

#include "emulator/fleet/fleet_command.h"
#include "emulator/hosted/hosted_command.h"
#include "emulator/leaf/leaf_command.h"
#include "emulator/load/load_command.h"
#include "emulator/platform/platform_command.h"
#include "emulator/support/stop_signal.h"

namespace medlarspread::emulator {
namespace {

struct Command {
  std::string_view name;
  int (*run)(int count, char** arguments, StopSignal& stop);
};

constexpr std::array kCommands{
    Command{"platform", RunPlatform}, Command{"leaf", RunLeaf},
    Command{"leaves", RunLeaves},     Command{"load", RunLoad},
    Command{"hosted", RunHosted},     Command{"fleet", RunFleet}};
constexpr int kUsageError = 2;

int Usage() {
  std::cerr << "usage: medlarspread_emulator COMMAND [OPTION...]; commands:";
  for (const Command& command : kCommands) {
    std::cerr << " " << command.name;
  }
  std::cerr << "\n";
  return kUsageError;
}

int Run(int count, char** arguments) {
  StopSignal stop;
  if (count < 2) {
    return Usage();
  }
  for (const Command& command : kCommands) {
    if (command.name == arguments[1]) {
      return command.run(count - 1, arguments + 1, stop);
    }
  }
  return Usage();
}

}  // namespace
}  // namespace medlarspread::emulator

int main(int count, char** arguments) {
  try {
    return medlarspread::emulator::Run(count, arguments);
  } catch (const std::exception& failure) {
    std::cerr << failure.what() << "\n";
    return 1;
  }
}
