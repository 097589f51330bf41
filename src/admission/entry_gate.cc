// The gate compares the expected wait with the tightest target of the
// collection: a class admits less and less while the wait grows from its lower
// to its upper bound, and the bounds are lower the more slack the class has.

#include "src/admission/entry_gate.h"

#include <algorithm>
#include <cmath>

namespace medlarspread::admission {
namespace {

// Bounds of the wait as shares of the tightest latency target: those of a class
// with unlimited slack, and those of the class with the tightest target.
constexpr double kLooseLower = 0.15;
constexpr double kLooseUpper = 0.40;
constexpr double kTightLower = 0.50;
constexpr double kTightUpper = 0.90;
constexpr base::Duration kShortestRetryAfter = base::Milliseconds(50);
constexpr base::Duration kLongestRetryAfter = base::Milliseconds(2000);

// The tightest latency target among the classes of `collection`.
base::Duration TightestLatency(const blackboard::TargetsView& view,
                               const blackboard::ClassTargets& targets) {
  base::Duration tightest = targets.latency;
  for (const auto& [name, row] : view.classes) {
    if (row.collection == targets.collection) {
      tightest = std::min(tightest, row.latency);
    }
  }
  return tightest;
}

}  // namespace

EntryGate::EntryGate(const blackboard::Blackboard& blackboard,
                     base::Clock clock)
    : blackboard_(blackboard), clock_(clock) {}

Decision EntryGate::Admit(const blackboard::ClassTargets& targets,
                          base::Duration expected_wait,
                          base::Duration deadline_left) {
  const bool is_in_time = expected_wait < deadline_left;
  if (is_in_time &&
      TakeTurn(targets.name, AdmitShare(targets, expected_wait))) {
    return {};
  }
  return {.is_admitted = false,
          .retry_after = std::clamp(expected_wait * 2, kShortestRetryAfter,
                                    kLongestRetryAfter)};
}

double EntryGate::AdmitShare(const blackboard::ClassTargets& targets,
                             base::Duration expected_wait) const {
  const base::Duration tightest =
      TightestLatency(*blackboard_.targets.Read(), targets);
  if (targets.latency.count() <= 0) {
    return 1.0;
  }
  const double pressure =
      base::ToMilliseconds(expected_wait) / base::ToMilliseconds(tightest);
  // 1 for the tightest class, towards 0 with growing slack.
  const double tightness =
      base::ToMilliseconds(tightest) / base::ToMilliseconds(targets.latency);
  const double lower = std::lerp(kLooseLower, kTightLower, tightness);
  const double upper = std::lerp(kLooseUpper, kTightUpper, tightness);
  return std::clamp((upper - pressure) / (upper - lower), 0.0, 1.0);
}

bool EntryGate::TakeTurn(const std::string& class_name, double share) {
  const std::lock_guard lock(mutex_);
  double& owed = owed_[class_name];
  owed += share;
  if (owed < 1.0) {
    return false;
  }
  owed -= 1.0;
  return true;
}

}  // namespace medlarspread::admission
