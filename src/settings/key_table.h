// The table of all keys of the settings file. Parsing, check-config and
// docs/SETTINGS.md all follow it, so that they can't differ.

#ifndef MEDLARSPREAD_SETTINGS_KEY_TABLE_H_
#define MEDLARSPREAD_SETTINGS_KEY_TABLE_H_

#include <string_view>
#include <vector>

#include "src/settings/key.h"

namespace medlarspread::settings {

// In the order of the reference page.
const std::vector<Key>& Keys();

const Key* FindKey(std::string_view section, std::string_view name);

}  // namespace medlarspread::settings

#endif  // MEDLARSPREAD_SETTINGS_KEY_TABLE_H_
