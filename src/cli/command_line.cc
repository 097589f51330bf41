// Dispatches to the commands and renders the help text.

#include "src/cli/command_line.h"

#include <algorithm>

#include <cxxopts.hpp>

#include "src/base/nearest_name.h"

namespace medlarspread::cli {

namespace {

const CommandText& TextOf(const Command& command) {
  return std::visit(
      [](const auto& kind) -> const CommandText& {
        return std::decay_t<decltype(kind)>::kText;
      },
      command);
}

bool IsHelp(const std::string& argument) {
  return argument == "--help" || argument == "-h" || argument == "help";
}

cxxopts::Options MakeOptions(const Command& command) {
  const CommandText& text = TextOf(command);
  cxxopts::Options options(std::string("medlarspread ") + text.name,
                           std::string(text.summary) + "\n");
  std::visit([&options](const auto& kind) { kind.AddOptions(options); },
             command);
  options.add_options()("h,help", "Print this help");
  options.add_options("positional")(kPositionalOption, text.positional,
                                    cxxopts::value<std::string>());
  options.custom_help(std::string(text.positional) + " [OPTION...]");
  options.positional_help("");
  options.parse_positional({kPositionalOption});
  return options;
}

std::vector<const char*> ToPointers(const std::vector<std::string>& arguments) {
  std::vector<const char*> pointers = {"medlarspread"};
  pointers.reserve(arguments.size() + 1);
  for (const std::string& argument : arguments) {
    pointers.push_back(argument.c_str());
  }
  return pointers;
}

}  // namespace

CommandLine::CommandLine(const Environment& environment)
    : environment_(environment), commands_{ServeCommand(environment),
                                           CheckConfigCommand(environment),
                                           ClassListCommand(environment),
                                           ClassShowCommand(environment),
                                           ClassSetCommand(environment),
                                           ClassRemoveCommand(environment),
                                           StatusCommand(environment),
                                           ReportBurnCommand(environment),
                                           QueryCommand(environment),
                                           LogLevelCommand(environment),
                                           QuarantineLiftCommand(environment),
                                           VersionCommand(environment)} {}

ExitCode CommandLine::Run(const std::vector<std::string>& arguments) const {
  if (arguments.empty()) {
    environment_.error << RenderHelp();
    return ExitCode::kUsage;
  }
  if (IsHelp(arguments.front())) {
    environment_.out << RenderHelp();
    return ExitCode::kOk;
  }
  const std::string one_word =
      arguments.front() == "--version" ? "version" : arguments.front();
  const std::string two_words =
      arguments.size() > 1 ? one_word + " " + arguments[1] : one_word;
  for (const Command& command : commands_) {
    const std::string name = TextOf(command).name;
    if (name == one_word) {
      return RunCommand(command, {arguments.begin() + 1, arguments.end()});
    }
    if (name == two_words) {
      return RunCommand(command, {arguments.begin() + 2, arguments.end()});
    }
  }
  const bool is_first_word =
      std::any_of(commands_.begin(), commands_.end(), [&](const auto& command) {
        return std::string(TextOf(command).name).rfind(one_word + " ", 0) == 0;
      });
  return ReportUnknownCommand(is_first_word ? two_words : one_word);
}

ExitCode CommandLine::RunCommand(
    const Command& command,
    const std::vector<std::string>& arguments) const {
  const CommandText& text = TextOf(command);
  try {
    cxxopts::Options options = MakeOptions(command);
    const std::vector<const char*> pointers = ToPointers(arguments);
    const cxxopts::ParseResult parsed =
        options.parse(static_cast<int>(pointers.size()), pointers.data());
    if (parsed.count("help") > 0) {
      environment_.out << options.help({""});
      return ExitCode::kOk;
    }
    const bool takes_positional = text.positional[0] != '\0';
    if (!parsed.unmatched().empty() ||
        (!takes_positional && parsed.count(kPositionalOption) > 0)) {
      environment_.error << "too many arguments; see medlarspread " << text.name
                         << " --help\n";
      return ExitCode::kUsage;
    }
    return std::visit([&parsed](const auto& kind) { return kind.Run(parsed); },
                      command);
  } catch (const cxxopts::exceptions::exception& problem) {
    environment_.error << problem.what() << "; see medlarspread " << text.name
                       << " --help\n";
    return ExitCode::kUsage;
  }
}

ExitCode CommandLine::ReportUnknownCommand(const std::string& name) const {
  std::vector<std::string> names;
  names.reserve(commands_.size());
  for (const Command& command : commands_) {
    names.emplace_back(TextOf(command).name);
  }
  const std::string nearest = base::NearestName(name, names);
  environment_.error << "unknown command: " << name
                     << (nearest.empty() ? ""
                                         : "; did you mean " + nearest + "?")
                     << "\nsee medlarspread --help\n";
  return ExitCode::kUsage;
}

std::string CommandLine::RenderHelp() const {
  constexpr std::size_t kNameWidth = 22;
  std::string text =
      "medlarspread: a query tier over many shards\n\n"
      "Usage: medlarspread COMMAND [OPTION...]\n\n";
  for (const Command& command : commands_) {
    const CommandText& row = TextOf(command);
    std::string name = std::string("  ") + row.name + " " + row.positional;
    name.resize(std::max(name.size() + 1, kNameWidth), ' ');
    text += name + row.summary + "\n";
  }
  return text +
         "\nEvery command takes --help.\n"
         "Exit codes: 0 done, 1 failed, 2 wrong usage, 3 refused (nothing was "
         "done), 4 outcome unknown.\n";
}

}  // namespace medlarspread::cli
