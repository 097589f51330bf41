// Renders JSON responses as readable text and extracts single fields.

#ifndef MEDLARSPREAD_CLI_JSON_TEXT_H_
#define MEDLARSPREAD_CLI_JSON_TEXT_H_

#include <optional>
#include <string>

namespace medlarspread::cli {

// Whether `text` is one valid JSON value.
bool IsJson(const std::string& text);

// Returns the field at `path`, such as "coverage.share", as text; strings are
// not quoted. Returns nullopt if `json` is invalid or lacks the field.
std::optional<std::string> FindField(const std::string& json,
                                     const std::string& path);

// Renders objects as indented "name: value" lines and arrays of objects as
// tables. Text that is not JSON is returned unchanged.
std::string RenderJson(const std::string& json);

}  // namespace medlarspread::cli

#endif  // MEDLARSPREAD_CLI_JSON_TEXT_H_
