// Checks each key of the settings file, and then the settings as a whole.

#include "src/settings/settings_parser.h"

#include <cstring>
#include <set>
#include <vector>

#include <ini.h>

#include "src/base/nearest_name.h"

namespace medlarspread::settings {

namespace {

constexpr int kMinHeartbeatsUntilGone = 3;

// The names of all sections, without duplicates.
std::vector<std::string> SectionNames() {
  std::set<std::string> sections;
  for (const Key& key : Keys()) {
    sections.insert(key.section);
  }
  return {sections.begin(), sections.end()};
}

std::vector<std::string> KeyNames(const std::string& section) {
  std::vector<std::string> names;
  for (const Key& key : Keys()) {
    if (key.section == section) {
      names.push_back(key.name);
    }
  }
  return names;
}

// The section of the first key called `name`, or an empty string.
std::string SectionOfKey(const std::string& name) {
  for (const Key& key : Keys()) {
    if (key.name == name) {
      return key.section;
    }
  }
  return "";
}

std::string Suggest(const std::string& name,
                    const std::vector<std::string>& candidates) {
  const std::string nearest = base::NearestName(name, candidates);
  return nearest.empty() ? "" : "; did you mean " + nearest + "?";
}

bool IsSpaceOrTab(char character) {
  return character == ' ' || character == '\t';
}

bool HasPort(const std::string& address, std::string_view port) {
  return address.substr(address.rfind(':') + 1) == port;
}

}  // namespace

base::Result<DaemonSettings> SettingsParser::Parse() {
  if (rest_.find('\0') != std::string_view::npos) {
    Report(0, "contains a zero byte; not a text file");
    rest_ = {};
  }
  const int bad_line = ini_parse_stream(DidRequestLine, this, DidFindKey, this);
  if (bad_line > 0) {
    Report(bad_line, "not a [section], key = value or comment line");
  }
  CheckRequiredKeys();
  CheckRelations();
  if (problems_.empty()) {
    return settings_;
  }
  std::string detail;
  for (const auto& [line, problem] : problems_) {
    detail += (detail.empty() ? "" : "\n") + problem;
  }
  return base::MakeError(base::ErrorCode::kInvalidArgument,
                         base::Step::kSettings, "", std::move(detail));
}

char* SettingsParser::DidRequestLine(char* buffer, int size, void* parser) {
  return static_cast<SettingsParser*>(parser)->ReadLine(buffer, size);
}

int SettingsParser::DidFindKey(void* parser,
                               const char* section,
                               const char* name,
                               const char* value) {
  static_cast<SettingsParser*>(parser)->AddKey(section, name, value);
  return 1;
}

char* SettingsParser::ReadLine(char* buffer, int size) {
  if (rest_.empty()) {
    return nullptr;
  }
  ++line_;
  const auto end = rest_.find('\n');
  std::string_view line = rest_.substr(0, end);
  rest_.remove_prefix(end == std::string_view::npos ? rest_.size() : end + 1);
  // NOTE: the library treats an indented line as a continuation of the previous
  // value. Indentation is removed, so that an indented key is read as a key.
  while (!line.empty() && IsSpaceOrTab(line.front())) {
    line.remove_prefix(1);
  }
  const auto max_length = static_cast<std::size_t>(size) - 1;
  if (line.size() > max_length) {
    Report(line_, "longer than " + std::to_string(max_length) + " bytes");
    line = {};
  }
  std::memcpy(buffer, line.data(), line.size());
  buffer[line.size()] = '\0';
  return buffer;
}

void SettingsParser::AddKey(const std::string& section,
                            const std::string& name,
                            const std::string& value) {
  const Key* key = FindKey(section, name);
  if (key == nullptr) {
    ReportUnknown(section, name);
    return;
  }
  const auto [entry, is_new] = lines_.emplace(key, line_);
  if (!is_new) {
    Report(line_, "[" + section + "] " + name + " is already set on line " +
                      std::to_string(entry->second));
    return;
  }
  const auto problem = SetKey(*key, value, settings_);
  if (problem) {
    Report(line_, "[" + section + "] " + name + " " + *problem);
  }
}

void SettingsParser::ReportUnknown(const std::string& section,
                                   const std::string& name) {
  if (section.empty()) {
    Report(line_, "key " + name + " is before the first [section]");
    return;
  }
  const std::vector<std::string> names = KeyNames(section);
  if (names.empty()) {
    Report(line_, "unknown section [" + section + "]" +
                      Suggest(section, SectionNames()));
    return;
  }
  const std::string problem = "unknown key " + name + " in [" + section + "]";
  const std::string other_section = SectionOfKey(name);
  if (!other_section.empty()) {
    Report(line_, problem + "; it belongs to [" + other_section + "]");
    return;
  }
  Report(line_, problem + Suggest(name, names));
}

void SettingsParser::CheckRequiredKeys() {
  for (const Key& key : Keys()) {
    if (key.is_required && lines_.count(&key) == 0) {
      Report(0, "[" + key.section + "] " + key.name + " is required");
    }
  }
  if (settings_.callers.interface == CallerInterface::kOpaque) {
    // No token is needed: with this interface operators write to the store
    // instead of using the administration API.
    if (settings_.callers.readiness_address.empty()) {
      Report(0,
             "[callers] readiness_address is required with interface = opaque");
    }
    return;
  }
  if (has_key("operators", "token") == has_key("operators", "token_file")) {
    Report(0, "[operators] needs exactly one of token and token_file");
  }
}

void SettingsParser::CheckRelations() {
  const MembershipSettings& membership = settings_.membership;
  if (membership.gone_after < kMinHeartbeatsUntilGone * membership.heartbeat) {
    Report(0,
           "[membership] gone_after_ms must be at least three times "
           "heartbeat_ms");
  }
  CheckAddresses();
}

void SettingsParser::CheckAddresses() {
  const std::string& callers = settings_.callers.address;
  const std::string& operators = settings_.operators.address;
  const std::string& peers = settings_.peers.address;
  const auto is_conflict = [](const std::string& left,
                              const std::string& right) {
    return !left.empty() && left == right && !HasPort(left, "0");
  };
  if (is_conflict(callers, operators) || is_conflict(callers, peers) ||
      is_conflict(operators, peers)) {
    Report(0,
           "[callers], [operators] and [peers] must have different addresses");
  }
  if (peers.rfind("0.0.0.0:", 0) == 0) {
    Report(0,
           "[peers] address must not be 0.0.0.0: the other daemons connect to "
           "it");
  }
}

void SettingsParser::Report(int line, const std::string& problem) {
  const std::string location =
      line > 0 ? name_ + ":" + std::to_string(line) : name_;
  problems_.emplace(line, location + ": " + problem);
}

bool SettingsParser::has_key(const char* section, const char* name) const {
  return lines_.count(FindKey(section, name)) > 0;
}

}  // namespace medlarspread::settings
