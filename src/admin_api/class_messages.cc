// JSON parsing and rendering of classes and changes.

#include "src/admin_api/class_messages.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <cstdint>
#include <optional>
#include <string_view>
#include <utility>

#include <cpprest/json.h>

#include "src/admin_api/error_response.h"
#include "src/base/json_string.h"
#include "src/store/json_fields.h"
#include "src/targets/class_targets_check.h"

namespace medlarspread::admin_api {

namespace {

using targets::ChangeInvalid;
using targets::TargetsChange;
using web::json::value;

constexpr double kMicrosecondsPerMillisecond = 1000.0;

constexpr std::array<std::string_view, 7> kFields = {
    "change_id",  "expected_revision", "collection",         "latency_ms",
    "percentile", "coverage",          "coverage_percentile"};

// Reads the fields of a JSON object and records the first invalid one.
class FieldReader {
 public:
  explicit FieldReader(const value& object) : object_(object) {}

  std::string ReadString(const char* field) {
    const auto text = store::ReadString(object_, field);
    if (!text) {
      Fail(field, "a string");
    }
    return text.value_or("");
  }

  double ReadNumber(const char* field) {
    const auto number = store::ReadNumber(object_, field);
    if (!number) {
      Fail(field, "a number");
    }
    return number.value_or(0.0);
  }

  std::optional<std::int64_t> ReadOptionalInteger(const char* field) {
    if (!store::HasField(object_, field)) {
      return std::nullopt;
    }
    const auto number = store::ReadInteger(object_, field);
    if (!number) {
      Fail(field, "a whole number");
    }
    return number;
  }

  const std::optional<ChangeInvalid>& fault() const { return fault_; }

 private:
  void Fail(const char* field, const std::string& expected) {
    if (!fault_) {
      const bool is_there = store::HasField(object_, field);
      fault_ = {field, is_there ? "must be " + expected : "is missing"};
    }
  }

  const value& object_;
  std::optional<ChangeInvalid> fault_;
};

// Numbers far outside the allowed range might not fit into a Duration. They are
// converted to zero, which is outside the range as well.
base::Duration ToLatency(double milliseconds) {
  const bool is_small =
      milliseconds >= 0.0 &&
      milliseconds <= 2 * base::ToMilliseconds(targets::kMaxLatency);
  return base::Duration(
      is_small ? std::llround(milliseconds * kMicrosecondsPerMillisecond) : 0);
}

std::optional<ChangeInvalid> FindUnknownField(const value& object) {
  for (const auto& [name, ignored] : object.as_object()) {
    if (std::find(kFields.begin(), kFields.end(), name) == kFields.end()) {
      return ChangeInvalid{name, "is not a field of this call"};
    }
  }
  return std::nullopt;
}

// Returns the shortest decimal text that parses to the same number. The JSON
// library would print a target of 0.98 with 17 digits.
std::string NumberText(double number) {
  std::array<char, 32> text{};
  const auto end =
      std::to_chars(text.data(), text.data() + text.size(), number);
  return {text.data(), end.ptr};
}

std::string RenderClass(const blackboard::ClassTargets& targets) {
  std::string text = R"({"name":)" + base::JsonString(targets.name);
  text += R"(,"collection":)" + base::JsonString(targets.collection);
  text +=
      R"(,"latency_ms":)" + NumberText(base::ToMilliseconds(targets.latency));
  text += R"(,"percentile":)" + NumberText(targets.percentile);
  text += R"(,"coverage":)" + NumberText(targets.coverage);
  text +=
      R"(,"coverage_percentile":)" + NumberText(targets.coverage_percentile);
  return text + "}";
}

http::Response MakeResponse(int status, const value& object) {
  http::Response response;
  response.status = status;
  response.body = object.serialize();
  return response;
}

http::Response MakeNotFound(const std::string& name) {
  return MakeErrorResponse(http::kNotFound, "not_found",
                           "there is no class " + name, "name");
}

struct OutcomeVisitor {
  http::Response operator()(const targets::ChangeAccepted& accepted) const {
    value object = value::object();
    object["revision"] = value::number(accepted.revision);
    return MakeResponse(http::kOk, object);
  }
  http::Response operator()(const targets::ChangeLost& lost) const {
    value object = value::object();
    object["error"] = value::string("conflict");
    object["detail"] = value::string("another change was made first");
    object["revision"] = value::number(lost.revision);
    object["winner_change_id"] = value::string(lost.winner_change_id);
    return MakeResponse(http::kConflict, object);
  }
  http::Response operator()(const targets::ChangeNotFound& absent) const {
    return MakeNotFound(absent.class_name);
  }
  http::Response operator()(const ChangeInvalid& fault) const {
    return MakeErrorResponse(http::kBadRequest, "invalid", fault.detail,
                             fault.field);
  }
  http::Response operator()(const targets::ChangeRefused& refused) const {
    return MakeRefusedResponse(refused.error, refused.retry_after);
  }
  http::Response operator()(const targets::ChangeUnknown& unknown) const {
    return MakeUnknownOutcomeResponse(unknown.error);
  }
};

}  // namespace

ParsedChange ParseSetClass(const std::string& name, const std::string& body) {
  const auto object = store::ParseObject(body);
  if (!object) {
    return ChangeInvalid{"body", "must be a JSON object"};
  }
  if (auto fault = FindUnknownField(*object)) {
    return std::move(*fault);
  }
  FieldReader reader(*object);
  TargetsChange change;
  change.change_id = reader.ReadString("change_id");
  change.expected_revision = reader.ReadOptionalInteger("expected_revision");
  blackboard::ClassTargets targets;
  targets.name = name;
  targets.collection = reader.ReadString("collection");
  targets.latency = ToLatency(reader.ReadNumber("latency_ms"));
  targets.percentile = reader.ReadNumber("percentile");
  targets.coverage = reader.ReadNumber("coverage");
  targets.coverage_percentile = reader.ReadNumber("coverage_percentile");
  if (reader.fault()) {
    return *reader.fault();
  }
  change.action = targets::SetClass{std::move(targets)};
  return change;
}

ParsedChange ParseRemoveClass(const std::string& name,
                              const http::Request& request) {
  TargetsChange change;
  change.action = targets::RemoveClass{name};
  const auto id = request.parameters.find("change_id");
  if (id == request.parameters.end()) {
    return ChangeInvalid{"change_id", "is missing"};
  }
  change.change_id = id->second;
  const auto expected = request.parameters.find("expected_revision");
  if (expected == request.parameters.end()) {
    return change;
  }
  const std::string& text = expected->second;
  std::int64_t revision = 0;
  const auto parsed =
      std::from_chars(text.data(), text.data() + text.size(), revision);
  if (parsed.ec != std::errc() || parsed.ptr != text.data() + text.size()) {
    return ChangeInvalid{"expected_revision", "must be a whole number"};
  }
  change.expected_revision = revision;
  return change;
}

http::Response RenderClasses(const blackboard::TargetsView& view,
                             const std::string& name) {
  if (view.digest == 0) {
    constexpr base::Duration kRetryAfter = base::Milliseconds(1000);
    return MakeRefusedResponse(
        base::MakeError(base::ErrorCode::kUnavailable, base::Step::kTargets, "",
                        "this VM has not received the targets yet"),
        kRetryAfter);
  }
  std::string classes;
  for (const auto& [class_name, targets] : view.classes) {
    if (name.empty() || name == class_name) {
      classes += (classes.empty() ? "" : ",") + RenderClass(targets);
    }
  }
  if (!name.empty() && classes.empty()) {
    return MakeNotFound(name);
  }
  http::Response response;
  response.body = R"({"revision":)" + std::to_string(view.revision) +
                  R"(,"classes":[)" + classes + "]}";
  return response;
}

http::Response RenderOutcome(const targets::ChangeOutcome& outcome) {
  return std::visit(OutcomeVisitor(), outcome);
}

}  // namespace medlarspread::admin_api
