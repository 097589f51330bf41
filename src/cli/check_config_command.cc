// Loads a settings file and prints the resulting settings, or all errors.

#include "src/cli/check_config_command.h"

#include "src/base/json_string.h"
#include "src/settings/key_reference.h"
#include "src/settings/load_settings.h"

namespace medlarspread::cli {

void CheckConfigCommand::AddOptions(cxxopts::Options& options) const {
  options.add_options()("json", "Print JSON");
}

ExitCode CheckConfigCommand::Run(const cxxopts::ParseResult& arguments) const {
  if (arguments.count(kPositionalOption) == 0) {
    environment_.error << "FILE is missing\n";
    return ExitCode::kUsage;
  }
  const auto& path = arguments[kPositionalOption].as<std::string>();
  const auto settings = settings::LoadSettings(path);
  const bool is_ok = settings.is_ok();
  if (arguments.count("json") > 0) {
    environment_.out << R"({"valid":)" << (is_ok ? "true" : "false")
                     << R"(,"detail":)"
                     << base::JsonString(is_ok ? "" : settings.error().detail)
                     << "}\n";
  } else if (is_ok) {
    environment_.out << settings::RenderSettings(settings.value()) << "\n; "
                     << path << " is valid\n";
  } else {
    environment_.error << settings.error().detail << "\n";
  }
  return is_ok ? ExitCode::kOk : ExitCode::kFailure;
}

}  // namespace medlarspread::cli
