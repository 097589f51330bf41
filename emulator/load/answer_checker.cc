// Compares the statements of an answer with its items.

#include "emulator/load/answer_checker.h"

#include <cmath>
#include <map>
#include <optional>
#include <set>
#include <tuple>
#include <vector>

#include <cpprest/json.h>

#include "emulator/leaf/query_message.h"
#include "src/blackboard/views.h"

namespace medlarspread::emulator {

namespace {

using blackboard::KeyRange;
using blackboard::kKeySpace;
using blackboard::Snapshot;
using web::json::value;

Snapshot SnapshotOf(const value& json) {
  return {json.at("index_version").as_number().to_int64(),
          json.at("layout_version").as_number().to_int64()};
}

KeyRange RangeOf(const value& json) {
  return {json.at("low").as_integer(), json.at("high").as_integer()};
}

// Returns the distinct ranges of the items.
using Ranges = std::set<KeyRange>;

Violation CheckItems(const AskedQuery& asked,
                     const value& answer,
                     Ranges& ranges) {
  const Snapshot snapshot = SnapshotOf(answer.at("snapshot"));
  const std::string digest = QueryDigest(asked.query);
  std::set<std::tuple<std::int32_t, std::int32_t, int>> seen;
  for (const value& item : answer.at("items").as_array()) {
    if (item.at("query_digest").as_string() != digest) {
      return Violation::kForeign;
    }
    if (SnapshotOf(item) != snapshot) {
      return Violation::kMixedSnapshots;
    }
    const KeyRange range = RangeOf(item);
    if (!seen.emplace(range.low, range.high, item.at("item").as_integer())
             .second) {
      return Violation::kDoubled;
    }
    ranges.insert(range);
  }
  return Violation::kNone;
}

// Returns the total width of the ranges, or nothing if two of them overlap.
std::optional<std::int64_t> WidthOf(const Ranges& ranges) {
  std::int64_t width = 0;
  std::int32_t end = 0;
  for (const KeyRange& range : ranges) {
    if (range.low < end) {
      return std::nullopt;
    }
    end = range.high;
    width += range.width();
  }
  return width;
}

// Checks that `ranges` and the missing ranges cover the whole key space.
bool IsCoverageTrue(const value& coverage, Ranges ranges) {
  const auto answered = WidthOf(ranges);
  if (!answered) {
    return false;
  }
  const auto& missing = coverage.at("missing").as_array();
  for (const value& range : missing) {
    ranges.insert(RangeOf(range));
  }
  const double share = static_cast<double>(*answered) / kKeySpace;
  constexpr double kTolerance = 1e-6;
  const bool is_partial = coverage.at("is_partial").as_bool();
  return WidthOf(ranges) == kKeySpace &&
         std::abs(coverage.at("share").as_double() - share) < kTolerance &&
         is_partial == (*answered < kKeySpace) &&
         is_partial == (missing.size() > 0);
}

Violation Check(const AskedQuery& asked, const value& answer) {
  if (answer.at("request_id").as_string() != asked.request_id) {
    return Violation::kForeign;
  }
  Ranges ranges;
  const Violation violation = CheckItems(asked, answer, ranges);
  if (violation != Violation::kNone) {
    return violation;
  }
  return IsCoverageTrue(answer.at("coverage"), ranges)
             ? Violation::kNone
             : Violation::kFalseCoverage;
}

}  // namespace

CheckedAnswer CheckAnswer(const AskedQuery& asked, const std::string& body) {
  CheckedAnswer checked;
  try {
    const value answer = value::parse(body);
    checked.coverage = answer.at("coverage").at("share").as_double();
    checked.is_partial = answer.at("coverage").at("is_partial").as_bool();
    checked.violation = Check(asked, answer);
  } catch (const web::json::json_exception&) {
    checked.violation = Violation::kMalformed;
  }
  return checked;
}

Violation CheckRefusal(const AskedQuery& asked, const std::string& body) {
  try {
    const value refusal = value::parse(body);
    if (refusal.at("request_id").as_string() != asked.request_id) {
      return Violation::kForeign;
    }
    const bool is_good =
        !refusal.at("ran").as_bool() &&
        refusal.at("retry_after_ms").as_number().to_int64() > 0;
    return is_good ? Violation::kNone : Violation::kBadRefusal;
  } catch (const web::json::json_exception&) {
    return Violation::kMalformed;
  }
}

}  // namespace medlarspread::emulator
