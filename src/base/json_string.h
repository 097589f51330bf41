// Encodes strings and numbers as JSON, for the few places that write JSON
// without a library.

#ifndef MEDLARSPREAD_BASE_JSON_STRING_H_
#define MEDLARSPREAD_BASE_JSON_STRING_H_

#include <string>
#include <string_view>

namespace medlarspread::base {

// `text` in double quotes. Control characters are escaped, and so is every
// byte that is not part of valid UTF-8, as the character U+FFFD: the result is
// always valid JSON on one line.
std::string JsonString(std::string_view text);

// The shortest text that parses back to exactly `number`, which must be finite.
std::string JsonNumber(double number);

}  // namespace medlarspread::base

#endif  // MEDLARSPREAD_BASE_JSON_STRING_H_
