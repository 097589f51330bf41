// Runs one daemon as the process's main job, from settings to exit status.

#ifndef MEDLARSPREAD_DAEMON_SERVE_H_
#define MEDLARSPREAD_DAEMON_SERVE_H_

#include "src/settings/daemon_settings.h"

namespace medlarspread::daemon {

// Runs until SIGTERM or SIGINT, then stops gracefully; a second signal ends it
// at once. Returns the process's exit status: 0 if nothing was cut off.
int Serve(const settings::DaemonSettings& settings);

}  // namespace medlarspread::daemon

#endif  // MEDLARSPREAD_DAEMON_SERVE_H_
