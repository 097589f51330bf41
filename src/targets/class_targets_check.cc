// Checks the syntax and ranges of the targets of a class.

#include "src/targets/class_targets_check.h"

#include <algorithm>
#include <string_view>

namespace medlarspread::targets {

namespace {

constexpr std::size_t kMaxNameLength = 64;
constexpr std::string_view kLowerCaseAndDigits =
    "abcdefghijklmnopqrstuvwxyz0123456789";
constexpr std::string_view kNameCharacters =
    "abcdefghijklmnopqrstuvwxyz0123456789-_";

bool IsName(std::string_view name) {
  return !name.empty() && name.size() <= kMaxNameLength &&
         kLowerCaseAndDigits.find(name.front()) != std::string_view::npos &&
         name.find_first_not_of(kNameCharacters) == std::string_view::npos;
}

// NOTE: written so that NaN is outside every range.
bool IsWithin(double value, double low, double high) {
  return value >= low && value <= high;
}

std::optional<ChangeInvalid> FindNameFaultOf(const char* field,
                                             std::string_view name) {
  if (IsName(name)) {
    return std::nullopt;
  }
  return ChangeInvalid{field,
                       "must be 1 to 64 of a-z, 0-9, '-' and '_', the first a "
                       "letter or digit"};
}

}  // namespace

std::optional<ChangeInvalid> FindNameFault(const std::string& class_name) {
  return FindNameFaultOf("name", class_name);
}

std::optional<ChangeInvalid> FindFault(
    const blackboard::ClassTargets& targets) {
  if (auto fault = FindNameFault(targets.name)) {
    return fault;
  }
  if (auto fault = FindNameFaultOf("collection", targets.collection)) {
    return fault;
  }
  if (targets.latency < kMinLatency || targets.latency > kMaxLatency) {
    return ChangeInvalid{"latency_ms", "must be 1 to 600000"};
  }
  if (!IsWithin(targets.percentile, kMinPercentile, kMaxPercentile)) {
    return ChangeInvalid{"percentile", "must be 50 to 99.99"};
  }
  if (!IsWithin(targets.coverage, 0.0, 1.0)) {
    return ChangeInvalid{"coverage", "must be 0 to 1"};
  }
  if (!IsWithin(targets.coverage_percentile, kMinPercentile, kMaxPercentile)) {
    return ChangeInvalid{"coverage_percentile", "must be 50 to 99.99"};
  }
  return std::nullopt;
}

}  // namespace medlarspread::targets
