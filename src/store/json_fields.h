// Typed reading of JSON from outside. Every function returns an empty value
// for text, fields or types that are not as expected and never throws, so that
// a malformed message becomes an error of the caller's choice.

#ifndef MEDLARSPREAD_STORE_JSON_FIELDS_H_
#define MEDLARSPREAD_STORE_JSON_FIELDS_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

namespace web::json {
class value;
}  // namespace web::json

namespace medlarspread::store {

// The object that `text` holds, or null if it is no valid JSON object. The
// pointer lets this header do without the HTTP library's headers.
std::unique_ptr<web::json::value> ParseObject(const std::string& text);

// Whether `object` is an object with the field, whatever the field's type.
bool HasField(const web::json::value& object, const char* field);

// A field of the named type, or nothing. Numbers with a fraction, or outside
// 64 bits, are no integers.
std::optional<std::string> ReadString(const web::json::value& object,
                                      const char* field);
std::optional<std::int64_t> ReadInteger(const web::json::value& object,
                                        const char* field);
std::optional<double> ReadNumber(const web::json::value& object,
                                 const char* field);

// A field that is an array, or null. The pointer lives as long as `object`.
const web::json::value* FindArray(const web::json::value& object,
                                  const char* field);

}  // namespace medlarspread::store

#endif  // MEDLARSPREAD_STORE_JSON_FIELDS_H_
