// Reads a settings file and reports every problem found, each with the file and
// the line.

#ifndef MEDLARSPREAD_SETTINGS_LOAD_SETTINGS_H_
#define MEDLARSPREAD_SETTINGS_LOAD_SETTINGS_H_

#include <string>

#include "src/base/result.h"
#include "src/settings/daemon_settings.h"

namespace medlarspread::settings {

// Reads the file at `path` and the token file that it names. All errors are at
// Step::kSettings: kNotFound if a file can't be read, kTooLarge if it is larger
// than 1 MiB, and kInvalidArgument if it is not valid; then `detail` has one
// line per problem, "path:12: ...".
base::Result<DaemonSettings> LoadSettings(const std::string& path);

// Parses settings that are already in memory; errors give `name` as the path.
// Does not read the token file.
base::Result<DaemonSettings> ParseSettings(const std::string& text,
                                           const std::string& name);

}  // namespace medlarspread::settings

#endif  // MEDLARSPREAD_SETTINGS_LOAD_SETTINGS_H_
