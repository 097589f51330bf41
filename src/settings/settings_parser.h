// Parses one text with the INI library and checks each key against the key
// table.

#ifndef MEDLARSPREAD_SETTINGS_SETTINGS_PARSER_H_
#define MEDLARSPREAD_SETTINGS_SETTINGS_PARSER_H_

#include <map>
#include <string>
#include <string_view>
#include <utility>

#include "src/base/result.h"
#include "src/settings/daemon_settings.h"
#include "src/settings/key_table.h"

namespace medlarspread::settings {

// Parses one text; not reusable.
class SettingsParser {
 public:
  // `name` is the file name that errors give.
  SettingsParser(std::string_view text, std::string name)
      : rest_(text), name_(std::move(name)) {}

  base::Result<DaemonSettings> Parse();

 private:
  // The INI library's callbacks; `parser` is this object.
  static char* DidRequestLine(char* buffer, int size, void* parser);
  static int DidFindKey(void* parser,
                        const char* section,
                        const char* name,
                        const char* value);

  char* ReadLine(char* buffer, int size);
  void AddKey(const std::string& section,
              const std::string& name,
              const std::string& value);
  void ReportUnknown(const std::string& section, const std::string& name);
  void CheckRequiredKeys();
  void CheckRelations();
  void CheckAddresses();
  void Report(int line, const std::string& problem);
  bool has_key(const char* section, const char* name) const;

  // The part of the text that the library has not read yet.
  std::string_view rest_;
  const std::string name_;
  // The number of the line that the library read last, starting at 1. The
  // library reports each key before it reads the next line, so this is also the
  // line of the key.
  int line_ = 0;
  DaemonSettings settings_;
  // The line of each key that was set.
  std::map<const Key*, int> lines_;
  // Error messages by line; line 0 is for problems of the file as a whole.
  std::multimap<int, std::string> problems_;
};

}  // namespace medlarspread::settings

#endif  // MEDLARSPREAD_SETTINGS_SETTINGS_PARSER_H_
