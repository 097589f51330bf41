// One key of the settings file: its place, the values it takes, and how it is
// set and shown.

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

// What a text may look like.
enum class TextRule {
  // 1 to 64 letters, digits, '.', '_' or '-'.
  kName,
  // "ip:port" to listen on; port 0 takes a free port.
  kListenAddress,
  // "ip:port" that others connect to: neither 0.0.0.0 nor port 0.
  kRemoteAddress,
  // 8 to 256 printable characters without blanks; never shown.
  kSecret,
  // Any text.
  kPath,
  // "key=value" with commas between.
  kPairs,
  // "ip:port" with commas between; may be empty.
  kAddresses,
};

struct TextValue {
  std::string& (*member)(DaemonSettings&);
  TextRule rule;
};

// A whole number in [min, max], in the unit that the key's name ends in.
struct IntegerValue {
  std::int64_t (*get)(const DaemonSettings&);
  void (*set)(DaemonSettings&, std::int64_t);
  std::int64_t min;
  std::int64_t max;
};

// A number in [min, max] that may have a fraction.
struct DecimalValue {
  double (*get)(const DaemonSettings&);
  void (*set)(DaemonSettings&, double);
  double min;
  double max;
};

// One of a few names.
struct ChoiceValue {
  const char* (*get)(const DaemonSettings&);
  // Returns false if `name` is none of the names.
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
  // What it decides, in one or two sentences.
  std::string help;
};

// Sets the key's value from `text`. Returns what is wrong with it, or nothing.
std::optional<std::string> SetKey(const Key& key,
                                  const std::string& text,
                                  DaemonSettings& settings);

// The key's value in `settings` as text. Secrets are shown as "(hidden)".
std::string ShowKey(const Key& key, const DaemonSettings& settings);

// What values the key takes, such as "1 to 64" or "json or text".
std::string DescribeRange(const Key& key);

}  // namespace medlarspread::settings

#endif  // MEDLARSPREAD_SETTINGS_KEY_H_
