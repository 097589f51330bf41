// Converts the targets of a class, as the administration API returns them, into
// the request body of a change.

#ifndef MEDLARSPREAD_CLI_CLASS_TARGETS_TEXT_H_
#define MEDLARSPREAD_CLI_CLASS_TARGETS_TEXT_H_

#include <optional>
#include <string>

namespace medlarspread::cli {

// Returns the body of a change that keeps the targets of class `name` in
// `response` and expects the revision in `response`. Returns nullopt if
// `response` is not a valid response to GET /v1/classes/NAME.
std::optional<std::string> MakeChangeFromResponse(const std::string& response,
                                                  const std::string& name);

}  // namespace medlarspread::cli

#endif  // MEDLARSPREAD_CLI_CLASS_TARGETS_TEXT_H_
