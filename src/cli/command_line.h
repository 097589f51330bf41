// Selects the subcommand from the arguments, parses its options and runs it.

#ifndef MEDLARSPREAD_CLI_COMMAND_LINE_H_
#define MEDLARSPREAD_CLI_COMMAND_LINE_H_

#include <string>
#include <variant>
#include <vector>

#include "src/cli/check_config_command.h"
#include "src/cli/class_list_command.h"
#include "src/cli/class_remove_command.h"
#include "src/cli/class_set_command.h"
#include "src/cli/class_show_command.h"
#include "src/cli/environment.h"
#include "src/cli/exit_code.h"
#include "src/cli/log_level_command.h"
#include "src/cli/quarantine_lift_command.h"
#include "src/cli/query_command.h"
#include "src/cli/report_burn_command.h"
#include "src/cli/serve_command.h"
#include "src/cli/status_command.h"
#include "src/cli/version_command.h"

namespace medlarspread::cli {

using Command = std::variant<ServeCommand,
                             CheckConfigCommand,
                             ClassListCommand,
                             ClassShowCommand,
                             ClassSetCommand,
                             ClassRemoveCommand,
                             StatusCommand,
                             ReportBurnCommand,
                             QueryCommand,
                             LogLevelCommand,
                             QuarantineLiftCommand,
                             VersionCommand>;

class CommandLine {
 public:
  // `environment` must outlive this object.
  explicit CommandLine(const Environment& environment);

  // `arguments` excludes the program name.
  ExitCode Run(const std::vector<std::string>& arguments) const;

 private:
  ExitCode RunCommand(const Command& command,
                      const std::vector<std::string>& arguments) const;
  ExitCode ReportUnknownCommand(const std::string& name) const;
  // Returns the help text that lists all commands.
  std::string RenderHelp() const;

  const Environment& environment_;
  std::vector<Command> commands_;
};

}  // namespace medlarspread::cli

#endif  // MEDLARSPREAD_CLI_COMMAND_LINE_H_
