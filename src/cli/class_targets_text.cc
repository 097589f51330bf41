// Copies the fields that a change may contain.

#include "src/cli/class_targets_text.h"

#include <cpprest/json.h>

namespace medlarspread::cli {

namespace {

using web::json::value;

constexpr const char* kTargetFields[] = {"collection", "latency_ms",
                                         "percentile", "coverage",
                                         "coverage_percentile"};

}  // namespace

std::optional<std::string> MakeChangeFromResponse(const std::string& response,
                                                  const std::string& name) {
  try {
    const value root = value::parse(response);
    for (const value& row : root.at("classes").as_array()) {
      if (row.at("name").as_string() != name) {
        continue;
      }
      value change = value::object();
      for (const char* field : kTargetFields) {
        change[field] = row.at(field);
      }
      change["expected_revision"] = root.at("revision");
      return change.serialize();
    }
  } catch (const std::exception&) {
    // Not JSON, or a field is missing: the caller reports the error.
  }
  return std::nullopt;
}

}  // namespace medlarspread::cli
