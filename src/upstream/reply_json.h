// Reading JSON that a leaf wrote, part of which goes on to callers: stricter
// than platform/json_fields.h, which serves for the fields of what was read.

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

// The object that `text` holds, or null if it is not valid JSON in UTF-8,
// nests too deeply, holds a number beyond the range of a double or is not an
// object. Never throws.
std::unique_ptr<web::json::value> ParseReply(const std::string& text);

// The field if it is a boolean, or nothing.
std::optional<bool> ReadBoolean(const web::json::value& object,
                                const char* field);

// `text` as a quoted JSON string.
std::string QuoteJson(const std::string& text);

}  // namespace medlarspread::upstream

#endif  // MEDLARSPREAD_UPSTREAM_REPLY_JSON_H_
