// Parses JSON written by leaves, parts of which are passed on to callers. It is
// stricter than store/json_fields.h, which reads the fields of parsed values.

#ifndef MEDLARSPREAD_UPSTREAM_REPLY_JSON_H_
#define MEDLARSPREAD_UPSTREAM_REPLY_JSON_H_

#include <memory>
#include <optional>
#include <string>

// Declared here so that only .cc files compile the JSON library's header.
namespace web::json {
class value;
}  // namespace web::json

namespace medlarspread::upstream {

// The JSON object in `text`, or null if it is not valid JSON in UTF-8, is
// nested too deeply, contains a number outside the range of a double or is not
// an object. Never throws.
std::unique_ptr<web::json::value> ParseReply(const std::string& text);

// The field if it is a boolean, or nothing.
std::optional<bool> ReadBoolean(const web::json::value& object,
                                const char* field);

// `text` as a quoted JSON string.
std::string QuoteJson(const std::string& text);

}  // namespace medlarspread::upstream

#endif  // MEDLARSPREAD_UPSTREAM_REPLY_JSON_H_
