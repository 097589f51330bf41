// One key of the settings file: its section and name, its valid values, and how
// its value is set and printed.

#ifndef MEDLARSPREAD_SETTINGS_KEY_H_
#define MEDLARSPREAD_SETTINGS_KEY_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "src/settings/daemon_settings.h"

namespace medlarspread::settings {

// The format that a text value must have.
enum class TextRule {
  // 1 to 64 letters, digits, '.', '_' or '-'.
  kName,
  // "ip:port" to listen on; port 0 selects a free port.
  kListenAddress,
  // "ip:port" that others connect to: neither 0.0.0.0 nor port 0.
  kRemoteAddress,
  // 8 to 256 printable characters without spaces; never printed.
  kSecret,
  // Any text that is not empty.
  kPath,
  // Comma-separated name=name pairs.
  kNamePairs,
  // Comma-separated "ip:port" addresses to connect to; may be empty.
  kRemoteAddresses,
};

struct TextValue {
  std::string& (*member)(DaemonSettings&);
  TextRule rule;
};

// An integer in [min, max], in the unit given by the suffix of the key's name.
struct IntegerValue {
  std::int64_t (*get)(const DaemonSettings&);
  void (*set)(DaemonSettings&, std::int64_t);
  std::int64_t min;
  std::int64_t max;
};

// A decimal number in [min, max].
struct DecimalValue {
  double (*get)(const DaemonSettings&);
  void (*set)(DaemonSettings&, double);
  double min;
  double max;
};

// One of a fixed set of names.
struct ChoiceValue {
  const char* (*get)(const DaemonSettings&);
  // Returns false if `name` is not one of `names`.
  bool (*set)(DaemonSettings&, std::string_view name);
  std::vector<std::string> names;
};

using KeyValue =
    std::variant<TextValue, IntegerValue, DecimalValue, ChoiceValue>;

struct Key {
  std::string section;
  std::string name;
  KeyValue value;
  bool is_required;
  // The description for docs/SETTINGS.md, in one or two sentences.
  std::string help;
};

// Sets the key's value from `text`. Returns a description of the problem if
// `text` is not valid, else std::nullopt.
std::optional<std::string> SetKey(const Key& key,
                                  const std::string& text,
                                  DaemonSettings& settings);

// The key's value in `settings` as text. Secrets are printed as "(hidden)".
std::string FormatKey(const Key& key, const DaemonSettings& settings);

// Describes the key's valid values, such as "1 to 64" or "json or text".
std::string DescribeRange(const Key& key);

}  // namespace medlarspread::settings

#endif  // MEDLARSPREAD_SETTINGS_KEY_H_
