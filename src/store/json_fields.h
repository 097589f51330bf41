// Typed access to JSON from external sources. Every function returns an empty
// value for text, fields or types that are not as expected and never throws, so
// that the caller can report a malformed message with an error of its own.

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

// Parses `text`; null if it is not a valid JSON object. Returned by pointer so
// that this header needs no header of the HTTP library.
std::unique_ptr<web::json::value> ParseObject(const std::string& text);

// Whether `object` is an object with the field, whatever the field's type.
bool HasField(const web::json::value& object, const char* field);

// Returns the field if it has the named type. Numbers with a fraction or
// outside 64 bits are not integers.
std::optional<std::string> ReadString(const web::json::value& object,
                                      const char* field);
std::optional<std::int64_t> ReadInteger(const web::json::value& object,
                                        const char* field);
std::optional<double> ReadNumber(const web::json::value& object,
                                 const char* field);

// Returns the field if it is an array, or null. The pointer is valid as long as
// `object`.
const web::json::value* FindArray(const web::json::value& object,
                                  const char* field);

}  // namespace medlarspread::store

#endif  // MEDLARSPREAD_STORE_JSON_FIELDS_H_
