// Typed access to the HTTP library's JSON values.

#include "src/store/json_fields.h"

#include <exception>

#include <cpprest/json.h>

namespace medlarspread::store {

namespace {

const web::json::value* FindField(const web::json::value& object,
                                  const char* field) {
  if (!object.is_object() || !object.has_field(field)) {
    return nullptr;
  }
  return &object.at(field);
}

}  // namespace

std::unique_ptr<web::json::value> ParseObject(const std::string& text) {
  // NOTE: the overload with an error code still throws on some malformed
  // texts, such as an invalid surrogate pair.
  try {
    std::error_code error;
    auto value = web::json::value::parse(text, error);
    if (error || !value.is_object()) {
      return nullptr;
    }
    return std::make_unique<web::json::value>(std::move(value));
  } catch (const std::exception&) {
    return nullptr;
  }
}

bool HasField(const web::json::value& object, const char* field) {
  return FindField(object, field) != nullptr;
}

std::optional<std::string> ReadString(const web::json::value& object,
                                      const char* field) {
  const auto* value = FindField(object, field);
  if (value == nullptr || !value->is_string()) {
    return std::nullopt;
  }
  return value->as_string();
}

std::optional<std::int64_t> ReadInteger(const web::json::value& object,
                                        const char* field) {
  const auto* value = FindField(object, field);
  if (value == nullptr || !value->is_number() ||
      !value->as_number().is_int64()) {
    return std::nullopt;
  }
  return value->as_number().to_int64();
}

std::optional<double> ReadNumber(const web::json::value& object,
                                 const char* field) {
  const auto* value = FindField(object, field);
  if (value == nullptr || !value->is_number()) {
    return std::nullopt;
  }
  return value->as_double();
}

const web::json::value* FindArray(const web::json::value& object,
                                  const char* field) {
  const auto* value = FindField(object, field);
  return value != nullptr && value->is_array() ? value : nullptr;
}

}  // namespace medlarspread::store
