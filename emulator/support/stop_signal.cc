// Blocks the stop signals and waits for one of them.

#include "emulator/support/stop_signal.h"

namespace medlarspread::emulator {

StopSignal::StopSignal() {
  sigemptyset(&signals_);
  sigaddset(&signals_, SIGTERM);
  sigaddset(&signals_, SIGINT);
  pthread_sigmask(SIG_BLOCK, &signals_, nullptr);
}

void StopSignal::Wait() {
  int signal = 0;
  sigwait(&signals_, &signal);
}

}  // namespace medlarspread::emulator
