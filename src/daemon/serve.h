// Runs a daemon for the lifetime of the process.

#ifndef MEDLARSPREAD_DAEMON_SERVE_H_
#define MEDLARSPREAD_DAEMON_SERVE_H_

#include "src/settings/daemon_settings.h"

namespace medlarspread::daemon {

// Runs until SIGTERM or SIGINT, then shuts down gracefully and exits the
// process, with status 0 if no request was cut off. With the queries interface
// a second signal ends the shutdown at once.
int Serve(const settings::DaemonSettings& settings);

}  // namespace medlarspread::daemon

#endif  // MEDLARSPREAD_DAEMON_SERVE_H_
