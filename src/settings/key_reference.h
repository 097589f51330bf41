// The key table as a page: docs/SETTINGS.md holds exactly this table.

#ifndef MEDLARSPREAD_SETTINGS_KEY_REFERENCE_H_
#define MEDLARSPREAD_SETTINGS_KEY_REFERENCE_H_

#include <string>

#include "src/settings/daemon_settings.h"

namespace medlarspread::settings {

// A Markdown table per section: key, default, values, what it decides.
std::string RenderKeyReference();

// The settings in force in INI form, defaults included and secrets hidden.
std::string RenderSettings(const DaemonSettings& settings);

}  // namespace medlarspread::settings

#endif  // MEDLARSPREAD_SETTINGS_KEY_REFERENCE_H_
