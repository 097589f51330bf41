// Name, argument and help text of a command.

#ifndef MEDLARSPREAD_CLI_COMMAND_TEXT_H_
#define MEDLARSPREAD_CLI_COMMAND_TEXT_H_

namespace medlarspread::cli {

struct CommandText {
  // One or two words: "status", "class set".
  const char* name;
  // The positional argument as shown in the help; empty if there is none.
  const char* positional;
  // One sentence.
  const char* summary;
};

// Name of the cxxopts option that receives the positional argument.
constexpr const char* kPositionalOption = "positional";

}  // namespace medlarspread::cli

#endif  // MEDLARSPREAD_CLI_COMMAND_TEXT_H_
