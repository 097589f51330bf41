// Reads a class's targets from an answer of the administration API, as the
// start of a change to them.

#ifndef MEDLARSPREAD_CLI_CLASS_TARGETS_TEXT_H_
#define MEDLARSPREAD_CLI_CLASS_TARGETS_TEXT_H_

#include <optional>
#include <string>

namespace medlarspread::cli {

// The targets of class `name` and the revision they were read at, as the body
// of a change that expects this revision. Nothing if `answer` is no answer to
// GET /v1/classes/NAME.
std::optional<std::string> MakeChangeFromAnswer(const std::string& answer,
                                                const std::string& name);

}  // namespace medlarspread::cli

#endif  // MEDLARSPREAD_CLI_CLASS_TARGETS_TEXT_H_
