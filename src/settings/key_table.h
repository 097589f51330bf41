// The table of all keys of the settings file. The parser, check-config and
// docs/SETTINGS.md all use it, so that they agree.

#ifndef MEDLARSPREAD_SETTINGS_KEY_TABLE_H_
#define MEDLARSPREAD_SETTINGS_KEY_TABLE_H_

#include <string_view>
#include <vector>

#include "src/settings/key.h"

namespace medlarspread::settings {

// All keys, in the order of docs/SETTINGS.md.
const std::vector<Key>& Keys();

// Returns null if there is no such key.
const Key* FindKey(std::string_view section, std::string_view name);

}  // namespace medlarspread::settings

#endif  // MEDLARSPREAD_SETTINGS_KEY_TABLE_H_
