// Renders the key table as Markdown, which docs/SETTINGS.md must contain, and
// the settings in force as INI.

#ifndef MEDLARSPREAD_SETTINGS_KEY_REFERENCE_H_
#define MEDLARSPREAD_SETTINGS_KEY_REFERENCE_H_

#include <string>

#include "src/settings/daemon_settings.h"

namespace medlarspread::settings {

// One Markdown table per section, with each key's default, values and
// description.
std::string RenderKeyReference();

// The settings in force as INI, including defaults; secrets are hidden.
std::string RenderSettings(const DaemonSettings& settings);

}  // namespace medlarspread::settings

#endif  // MEDLARSPREAD_SETTINGS_KEY_REFERENCE_H_
