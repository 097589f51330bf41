// Overwrites the quarantine entry in the store unconditionally.

#include "src/cli/quarantine_lift_command.h"

#include "src/quarantine/fingerprint.h"
#include "src/quarantine/verdict_entry.h"
#include "src/settings/load_settings.h"

namespace medlarspread::cli {

void QuarantineLiftCommand::AddOptions(cxxopts::Options& options) const {
  options.add_options()("settings",
                        "The settings file of a daemon, for the store's "
                        "address",
                        cxxopts::value<std::string>());
}

ExitCode QuarantineLiftCommand::Run(
    const cxxopts::ParseResult& arguments) const {
  if (arguments.count(kPositionalOption) == 0 ||
      arguments.count("settings") == 0) {
    environment_.error << "FINGERPRINT and --settings are required\n";
    return ExitCode::kUsage;
  }
  const auto& text = arguments[kPositionalOption].as<std::string>();
  if (!quarantine::FingerprintFromText(text)) {
    environment_.error << text
                       << " is not a fingerprint: expected 32 hexadecimal "
                       << "digits, as in the log\n";
    return ExitCode::kUsage;
  }
  const auto settings =
      settings::LoadSettings(arguments["settings"].as<std::string>());
  if (!settings.is_ok()) {
    environment_.error << settings.error().detail << "\n";
    return ExitCode::kFailure;
  }
  const blackboard::QuarantineEntry entry{blackboard::QuarantineState::kLifted,
                                          environment_.clock.WallMilliseconds(),
                                          "by an operator"};
  const base::Status written =
      environment_.write_key(settings.value().platform.address,
                             std::string(quarantine::kVerdictKeyPrefix) + text,
                             quarantine::EncodeVerdict(entry));
  if (!written.is_ok()) {
    environment_.error << "unknown whether it was lifted: "
                       << written.error().ToString() << "\n";
    return ExitCode::kUnknown;
  }
  environment_.out << "lifted; takes effect on all daemons within seconds\n";
  return ExitCode::kOk;
}

}  // namespace medlarspread::cli
