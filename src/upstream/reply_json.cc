// JSON checks that the library does not perform.

#include "src/upstream/reply_json.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include <cpprest/asyncrt_utils.h>
#include <cpprest/json.h>

#include "src/store/json_fields.h"

namespace medlarspread::upstream {

namespace {

bool IsAscii(const std::string& text) {
  return std::all_of(text.begin(), text.end(), [](char letter) {
    return static_cast<unsigned char>(letter) < 0x80;
  });
}

// The JSON parser accepts invalid UTF-8. It would be passed on to callers in
// the items, so it is rejected here.
bool IsUtf8(const std::string& text) {
  if (IsAscii(text)) {
    return true;
  }
  try {
    utility::conversions::utf8_to_utf16(text);
    return true;
  } catch (const std::exception&) {
    return false;
  }
}

// The parser converts a number too large for a double into infinity, which
// can't be written as JSON again. The recursion depth is limited by the
// parser's own nesting limit.
bool HasOnlyFiniteNumbers(const web::json::value& value) {
  if (value.is_number()) {
    return std::isfinite(value.as_double());
  }
  if (value.is_array()) {
    const auto& elements = value.as_array();
    return std::all_of(elements.begin(), elements.end(), HasOnlyFiniteNumbers);
  }
  if (value.is_object()) {
    const auto& fields = value.as_object();
    return std::all_of(fields.begin(), fields.end(), [](const auto& field) {
      return HasOnlyFiniteNumbers(field.second);
    });
  }
  return true;
}

}  // namespace

std::unique_ptr<web::json::value> ParseReply(const std::string& text) {
  if (!IsUtf8(text)) {
    return nullptr;
  }
  auto value = store::ParseObject(text);
  return value && HasOnlyFiniteNumbers(*value) ? std::move(value) : nullptr;
}

std::optional<bool> ReadBoolean(const web::json::value& object,
                                const char* field) {
  if (!store::HasField(object, field) || !object.at(field).is_boolean()) {
    return std::nullopt;
  }
  return object.at(field).as_bool();
}

std::string QuoteJson(const std::string& text) {
  return web::json::value::string(text).serialize();
}

}  // namespace medlarspread::upstream
