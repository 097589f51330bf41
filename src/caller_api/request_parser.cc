// Validates the fields of a request.

#include "src/caller_api/request_parser.h"

#include <algorithm>
#include <optional>
#include <set>
#include <string_view>
#include <utility>
#include <vector>

#include <cpprest/json.h>

#include "src/base/nearest_name.h"

namespace medlarspread::caller_api {

namespace {

using web::json::value;

constexpr std::int64_t kMaxDeadlineMilliseconds = 600000;
constexpr std::size_t kMaxTimeDigits = 16;
constexpr std::size_t kMinSuffixLength = 8;
constexpr std::size_t kMaxSuffixLength = 64;
constexpr std::size_t kMaxEchoedLength = 64;

const std::vector<std::string>& FieldNames() {
  static const std::vector<std::string> names = {
      "request_id", "class", "deadline_ms", "idempotent", "query"};
  return names;
}

bool IsDigit(char letter) {
  return letter >= '0' && letter <= '9';
}

bool IsLetterOrDigit(char letter) {
  return IsDigit(letter) || (letter >= 'a' && letter <= 'z') ||
         (letter >= 'A' && letter <= 'Z');
}

bool IsRequestId(std::string_view text) {
  const auto dash = text.find('-');
  if (dash == std::string_view::npos || dash == 0 || dash > kMaxTimeDigits) {
    return false;
  }
  const std::string_view time = text.substr(0, dash);
  const std::string_view suffix = text.substr(dash + 1);
  return std::all_of(time.begin(), time.end(), IsDigit) &&
         suffix.size() >= kMinSuffixLength &&
         suffix.size() <= kMaxSuffixLength &&
         std::all_of(suffix.begin(), suffix.end(), IsLetterOrDigit);
}

// Every field must be known and present exactly once. With two values for
// "idempotent", for example, it would be unclear which one applies.
std::optional<InvalidField> CheckFieldNames(const web::json::object& fields) {
  std::set<std::string> seen;
  const std::vector<std::string>& known = FieldNames();
  for (const auto& [name, unused] : fields) {
    if (std::find(known.begin(), known.end(), name) == known.end()) {
      const std::string nearest = base::NearestName(name, known);
      return InvalidField{name.substr(0, kMaxEchoedLength),
                          nearest.empty()
                              ? "unknown field"
                              : "unknown field; did you mean " + nearest + "?"};
    }
    if (!seen.insert(name).second) {
      return InvalidField{name, "given twice"};
    }
  }
  for (const std::string& name : known) {
    if (seen.count(name) == 0) {
      return InvalidField{name, "missing"};
    }
  }
  return std::nullopt;
}

ParsedRequest ParseFields(const web::json::object& fields) {
  const value& request_id = fields.at("request_id");
  if (!request_id.is_string() || !IsRequestId(request_id.as_string())) {
    return InvalidField{"request_id",
                        "must be <milliseconds since 1970>-<8 to 64 letters "
                        "or digits>"};
  }
  const value& class_name = fields.at("class");
  if (!class_name.is_string() || class_name.as_string().empty()) {
    return InvalidField{"class", "must be the name of a class"};
  }
  const value& deadline = fields.at("deadline_ms");
  if (!deadline.is_integer() || !deadline.as_number().is_int64() ||
      deadline.as_number().to_int64() <= 0 ||
      deadline.as_number().to_int64() > kMaxDeadlineMilliseconds) {
    return InvalidField{"deadline_ms",
                        "must be a whole number from 1 to 600000"};
  }
  const value& is_idempotent = fields.at("idempotent");
  if (!is_idempotent.is_boolean()) {
    return InvalidField{"idempotent", "must be true or false"};
  }
  return query::CallerRequest{
      .request_id = request_id.as_string(),
      .class_name = class_name.as_string(),
      .deadline = base::Milliseconds(deadline.as_number().to_int64()),
      .is_idempotent = is_idempotent.as_bool(),
      .query = fields.at("query").serialize()};
}

}  // namespace

ParsedRequest ParseCallerRequest(const std::string& body) {
  try {
    const value root = value::parse(body);
    if (!root.is_object()) {
      return InvalidField{"", "the body must be a JSON object"};
    }
    auto problem = CheckFieldNames(root.as_object());
    if (problem) {
      return *std::move(problem);
    }
    return ParseFields(root.as_object());
  } catch (const std::exception&) {
    // The library's message may quote arbitrary bytes of the body, so it isn't
    // included.
    return InvalidField{"", "the body is not valid JSON, or nested too deep"};
  }
}

}  // namespace medlarspread::caller_api
