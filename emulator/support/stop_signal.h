// Waits for SIGTERM or SIGINT on the main thread.

#ifndef MEDLARSPREAD_EMULATOR_SUPPORT_STOP_SIGNAL_H_
#define MEDLARSPREAD_EMULATOR_SUPPORT_STOP_SIGNAL_H_

#include <csignal>

namespace medlarspread::emulator {

class StopSignal {
 public:
  // Blocks the signals for this thread and those it starts afterwards, so it
  // must be constructed before any other thread.
  StopSignal();
  void Wait();

 private:
  sigset_t signals_{};
};

}  // namespace medlarspread::emulator

#endif  // MEDLARSPREAD_EMULATOR_SUPPORT_STOP_SIGNAL_H_
