// Reads a settings file. Every problem found is reported, each with the file
// and the line.

#ifndef MEDLARSPREAD_SETTINGS_LOAD_SETTINGS_H_
#define MEDLARSPREAD_SETTINGS_LOAD_SETTINGS_H_

#include <string>

#include "src/base/result.h"
#include "src/settings/daemon_settings.h"

namespace medlarspread::settings {

// Reads the file at `path`, and the token file that it names. Errors, all at
// Step::kSettings: kNotFound if a file can't be read, kInvalidArgument if it is
// not valid; then `detail` has one line per problem, "path:12: ...".
base::Result<DaemonSettings> LoadSettings(const std::string& path);

// The same for settings that are already in memory; `name` stands for the path
// in errors. Does not read the token file.
base::Result<DaemonSettings> ParseSettings(const std::string& text,
                                           const std::string& name);

}  // namespace medlarspread::settings

#endif  // MEDLARSPREAD_SETTINGS_LOAD_SETTINGS_H_
