// Installs the signal handlers, opens the log, and runs the daemon.

#include "src/daemon/serve.h"

#include <atomic>
#include <csignal>
#include <cstdlib>
#include <iostream>

#include <unistd.h>

#include "src/base/log.h"
#include "src/base/nonblocking_output.h"
#include "src/daemon/daemon.h"
#include "src/daemon/opaque_daemon.h"

namespace medlarspread::daemon {

namespace {

// Written by the signal handler, so they can only be global and lock-free.
std::atomic<bool> should_stop = false;
std::atomic<bool> should_end_now = false;
static_assert(std::atomic<bool>::is_always_lock_free);

extern "C" void DidReceiveStopSignal(int) {
  if (should_stop.exchange(true)) {
    should_end_now = true;
  }
}

void InstallSignalHandlers() {
  struct sigaction action {};
  action.sa_handler = DidReceiveStopSignal;
  sigaction(SIGTERM, &action, nullptr);
  sigaction(SIGINT, &action, nullptr);
  // Writing to a closed connection must fail with EPIPE instead of ending the
  // process.
  std::signal(SIGPIPE, SIG_IGN);
}

}  // namespace

namespace {

int ServeOpaque(const settings::DaemonSettings& settings) {
  std::signal(SIGPIPE, SIG_IGN);
  // NOTE: never destroyed, since the control thread may still use them.
  auto* output = new base::NonblockingOutput(STDOUT_FILENO);
  auto* stream = new std::ostream(output);
  const base::Log log({.level = settings.log.level,
                       .format = settings.log.format,
                       .vm = settings.vm.name},
                      *stream);
  auto* daemon = new OpaqueDaemon(settings, log, *stream);
  const auto started = daemon->Start();
  if (!started.is_ok()) {
    log.DidFail(started.error(), "the daemon can't start");
    std::_Exit(EXIT_FAILURE);
  }
  daemon->Run();
  stream->flush();
  std::_Exit(EXIT_SUCCESS);
}

}  // namespace

int Serve(const settings::DaemonSettings& settings) {
  if (settings.callers.interface == settings::CallerInterface::kOpaque) {
    return ServeOpaque(settings);
  }
  InstallSignalHandlers();
  const base::Log log({.level = settings.log.level,
                       .format = settings.log.format,
                       .vm = settings.vm.name},
                      std::cerr);
  // NOTE: never destroyed. The HTTP library's threads run until the process
  // exits and may still hold callbacks that refer to the daemon.
  auto* daemon = new Daemon(settings, log, std::cout);
  const auto started = daemon->Start();
  if (!started.is_ok()) {
    log.DidFail(started.error(), "the daemon can't start");
    std::_Exit(EXIT_FAILURE);
  }
  const bool is_clean = daemon->RunUntil(should_stop, should_end_now);
  // Skips the destructors of globals, which would race with the HTTP library's
  // threads.
  std::cout.flush();
  std::_Exit(is_clean ? EXIT_SUCCESS : EXIT_FAILURE);
}

}  // namespace medlarspread::daemon
