// JSON answers as text for people, and the few reads of them that commands
// need.

#ifndef MEDLARSPREAD_CLI_JSON_TEXT_H_
#define MEDLARSPREAD_CLI_JSON_TEXT_H_

#include <optional>
#include <string>

namespace medlarspread::cli {

// Whether `text` is one valid JSON value.
bool IsJson(const std::string& text);

// The field at `path`, such as "coverage.share", as text; strings without their
// quotes. Nothing if `json` is invalid or lacks it.
std::optional<std::string> FindField(const std::string& json,
                                     const std::string& path);

// Nested objects as indented "name: value" lines, arrays of objects as tables.
// Text that isn't JSON is returned as it is.
std::string RenderJson(const std::string& json);

}  // namespace medlarspread::cli

#endif  // MEDLARSPREAD_CLI_JSON_TEXT_H_
