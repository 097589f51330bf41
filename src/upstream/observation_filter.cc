// Implementation of upstream::ObservationFilter.

#include "src/upstream/observation_filter.h"

namespace medlarspread::upstream {

using blackboard::UpstreamState;

namespace {

// Larger than the numbers of successive failures that UpstreamRecord counts.
constexpr int kMaxPassedPerInterval = 16;

bool IsFailure(LeafOutcome outcome) {
  switch (outcome) {
    case LeafOutcome::kUnreachable:
    case LeafOutcome::kTimeout:
    case LeafOutcome::kLost:
    case LeafOutcome::kMismatch:
    case LeafOutcome::kReplaced:
    case LeafOutcome::kFailed:
      return true;
    case LeafOutcome::kAnswered:
    case LeafOutcome::kWrongSnapshot:
    case LeafOutcome::kShed:
    case LeafOutcome::kDraining:
    case LeafOutcome::kCold:
      return false;
  }
  return true;
}

bool Contradicts(const blackboard::Upstream& known, const LeafReply& reply) {
  if (reply.state && *reply.state != known.state) {
    return true;
  }
  return reply.outcome == LeafOutcome::kWrongSnapshot &&
         reply.holdings != known.holdings;
}

}  // namespace

bool ObservationFilter::ShouldPassOn(const blackboard::Upstream& known,
                                     const LeafReply& reply,
                                     base::MonotonicTime now) {
  const bool is_failure = IsFailure(reply.outcome);
  const bool is_draining = reply.state == UpstreamState::kDraining &&
                           known.state != UpstreamState::kDraining;
  const bool is_contradiction = Contradicts(known, reply);
  const std::lock_guard lock(mutex_);
  const auto [entry, is_new] = rows_.try_emplace(known.name);
  Row& row = entry->second;
  if (is_new || now >= row.interval_started + interval_) {
    row.interval_started = now;
    row.passed = 0;
  }
  const bool is_due = is_new || now >= row.last_passed + interval_;
  const bool is_change = is_failure || is_contradiction || row.has_failed;
  const bool should_pass_on = is_due || is_draining ||
                              (is_change && row.passed < kMaxPassedPerInterval);
  if (should_pass_on) {
    ++row.passed;
    row.last_passed = now;
    row.has_failed = is_failure;
  }
  return should_pass_on;
}

void ObservationFilter::Forget(const std::string& name) {
  const std::lock_guard lock(mutex_);
  rows_.erase(name);
}

}  // namespace medlarspread::upstream
