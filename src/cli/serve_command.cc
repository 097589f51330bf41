// Loads the settings and runs the daemon.

#include "src/cli/serve_command.h"

#include "src/settings/load_settings.h"

namespace medlarspread::cli {

void ServeCommand::AddOptions(cxxopts::Options& options) const {
  options.add_options()("settings", "The settings file, instead of FILE",
                        cxxopts::value<std::string>(), "FILE");
}

ExitCode ServeCommand::Run(const cxxopts::ParseResult& arguments) const {
  const bool has_option = arguments.count("settings") > 0;
  if (has_option == (arguments.count(kPositionalOption) > 0)) {
    environment_.error
        << "give exactly one settings file, as FILE or --settings\n";
    return ExitCode::kUsage;
  }
  const auto& path =
      arguments[has_option ? "settings" : kPositionalOption].as<std::string>();
  const auto settings = settings::LoadSettings(path);
  if (!settings.is_ok()) {
    environment_.error << settings.error().detail << "\n";
    return ExitCode::kFailure;
  }
  const int status = environment_.serve(settings.value());
  return status == 0 ? ExitCode::kOk : ExitCode::kFailure;
}

}  // namespace medlarspread::cli
