// The filter of replies between traffic and control.

#include "src/upstream/observation_filter.h"

namespace medlarspread::upstream {

namespace {

bool IsFailure(LeafOutcome outcome) {
  switch (outcome) {
    case LeafOutcome::kUnreachable:
    case LeafOutcome::kTimeout:
    case LeafOutcome::kLost:
    case LeafOutcome::kMismatch:
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

bool ObservationFilter::IsNews(const blackboard::Upstream& known,
                               const LeafReply& reply,
                               base::MonotonicTime now) {
  const bool is_failure = IsFailure(reply.outcome);
  const bool is_contradiction = Contradicts(known, reply);
  const std::lock_guard lock(mutex_);
  const auto [row, is_new] = rows_.try_emplace(known.name);
  Row& state = row->second;
  const bool is_news = is_new || is_failure || is_contradiction ||
                       state.has_failed || now >= state.last_passed + interval_;
  if (is_news) {
    state.last_passed = now;
    state.has_failed = is_failure;
  }
  return is_news;
}

void ObservationFilter::Forget(const std::string& name) {
  const std::lock_guard lock(mutex_);
  rows_.erase(name);
}

}  // namespace medlarspread::upstream
