// The admitted share of a class falls linearly while its expected wait grows
// from the lower to the upper bound. A single threshold would admit and refuse
// in bursts, because the reported wait is slightly outdated.

#include "src/admission/entry_gate.h"

#include <algorithm>

namespace medlarspread::admission {
namespace {

// As shares of the latency target of a class: all requests are admitted while
// the expected wait is below the first, and none above the second. The rest of
// the target is needed for the service time.
constexpr double kAdmitAllBelow = 0.5;
constexpr double kAdmitNoneAbove = 0.9;
constexpr base::Duration kMinRetryAfter = base::Milliseconds(50);
constexpr base::Duration kMaxRetryAfter = base::Milliseconds(2000);

// The share of requests of the class to admit, 0 to 1.
double AdmitShare(const blackboard::ClassTargets& targets,
                  base::Duration expected_wait) {
  if (targets.latency.count() <= 0) {
    return 1.0;
  }
  const double wait_share = base::ToMilliseconds(expected_wait) /
                            base::ToMilliseconds(targets.latency);
  return std::clamp(
      (kAdmitNoneAbove - wait_share) / (kAdmitNoneAbove - kAdmitAllBelow), 0.0,
      1.0);
}

}  // namespace

Decision EntryGate::Admit(const blackboard::ClassTargets& targets,
                          base::Duration expected_wait,
                          base::Duration deadline_left) {
  const bool is_in_time = expected_wait < deadline_left;
  if (is_in_time &&
      AdmitByCredit(targets.name, AdmitShare(targets, expected_wait))) {
    return {};
  }
  return {.is_admitted = false,
          .retry_after =
              std::clamp(expected_wait * 2, kMinRetryAfter, kMaxRetryAfter)};
}

bool EntryGate::AdmitByCredit(const std::string& class_name, double share) {
  const std::lock_guard lock(mutex_);
  double& credit = credits_[class_name];
  credit += share;
  if (credit < 1.0) {
    return false;
  }
  credit -= 1.0;
  return true;
}

}  // namespace medlarspread::admission
