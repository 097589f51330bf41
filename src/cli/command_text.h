// How a command is called and described in the help.

#ifndef MEDLARSPREAD_CLI_COMMAND_TEXT_H_
#define MEDLARSPREAD_CLI_COMMAND_TEXT_H_

namespace medlarspread::cli {

struct CommandText {
  // One or two words: "status", "class set".
  const char* name;
  // Its positional argument as shown in the help; empty if it takes none.
  const char* positional;
  // One sentence.
  const char* summary;
};

// The option that holds the positional argument of every command.
constexpr const char* kPositionalOption = "positional";

}  // namespace medlarspread::cli

#endif  // MEDLARSPREAD_CLI_COMMAND_TEXT_H_
