// Reads the settings file and the token file.

#include "src/settings/load_settings.h"

#include <filesystem>
#include <fstream>
#include <iterator>
#include <utility>

#include "src/settings/key_table.h"
#include "src/settings/settings_parser.h"

namespace medlarspread::settings {

namespace {

using base::ErrorCode;
using base::Step;

constexpr std::size_t kMaxFileBytes = 1 << 20;

base::Result<std::string> ReadFile(const std::string& path) {
  // NOTE: opening a directory succeeds; only reading from it fails.
  std::ifstream file(path, std::ios::binary);
  std::string text(kMaxFileBytes + 1, '\0');
  file.read(text.data(), static_cast<std::streamsize>(text.size()));
  if (!file.is_open() || file.bad()) {
    return base::MakeError(ErrorCode::kNotFound, Step::kSettings, "",
                           path + ": can't be read");
  }
  text.resize(static_cast<std::size_t>(file.gcount()));
  if (text.size() > kMaxFileBytes) {
    return base::MakeError(ErrorCode::kTooLarge, Step::kSettings, "",
                           path + ": larger than 1 MiB");
  }
  return text;
}

// Sets the token from the token file, if the settings name one.
base::Status ReadToken(const std::string& settings_path,
                       DaemonSettings& settings) {
  if (settings.operators.token_file.empty()) {
    return base::Done{};
  }
  const std::filesystem::path token_path =
      std::filesystem::path(settings_path).parent_path() /
      settings.operators.token_file;
  const auto text = ReadFile(token_path.string());
  if (!text.is_ok()) {
    return text.error();
  }
  const std::string token =
      text.value().substr(0, text.value().find_first_of("\r\n"));
  const auto problem = SetKey(*FindKey("operators", "token"), token, settings);
  if (problem) {
    return base::MakeError(ErrorCode::kInvalidArgument, Step::kSettings, "",
                           token_path.string() + ":1: the token " + *problem);
  }
  return base::Done{};
}

}  // namespace

base::Result<DaemonSettings> LoadSettings(const std::string& path) {
  const auto text = ReadFile(path);
  if (!text.is_ok()) {
    return text.error();
  }
  auto settings = ParseSettings(text.value(), path);
  if (!settings.is_ok()) {
    return settings;
  }
  const auto status = ReadToken(path, settings.value());
  if (!status.is_ok()) {
    return status.error();
  }
  settings.value().file = path;
  return settings;
}

base::Result<DaemonSettings> ParseSettings(const std::string& text,
                                           const std::string& name) {
  return SettingsParser(text, name).Parse();
}

}  // namespace medlarspread::settings
