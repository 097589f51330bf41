// Validates the targets of a class. The same check applies to the operators'
// changes and to the records read from the store and from peers.

#ifndef MEDLARSPREAD_TARGETS_CLASS_TARGETS_CHECK_H_
#define MEDLARSPREAD_TARGETS_CLASS_TARGETS_CHECK_H_

#include <optional>
#include <string>

#include "src/blackboard/views.h"
#include "src/targets/targets_change.h"

namespace medlarspread::targets {

constexpr base::Duration kMinLatency = base::Milliseconds(1);
constexpr base::Duration kMaxLatency = base::Milliseconds(600000);
constexpr double kMinPercentile = 50.0;
constexpr double kMaxPercentile = 99.99;

// Returns the first invalid field, under its name in the administration API, or
// nothing.
std::optional<ChangeInvalid> FindFault(const blackboard::ClassTargets& targets);
std::optional<ChangeInvalid> FindNameFault(const std::string& class_name);

}  // namespace medlarspread::targets

#endif  // MEDLARSPREAD_TARGETS_CLASS_TARGETS_CHECK_H_
