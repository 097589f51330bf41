// Map of the leaves' windows that is guarded by a mutex.

#include "src/routing/leaf_windows.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace medlarspread::routing {

namespace {

constexpr int kUnlimited = std::numeric_limits<int>::max();

bool IsShed(const upstream::LeafReply& reply) {
  return reply.outcome == upstream::LeafOutcome::kShed;
}

}  // namespace

LeafWindows::LeafWindows(Policy policy, base::Clock clock)
    : policy_(policy), clock_(std::move(clock)) {}

LeafWindows::Row& LeafWindows::RowOf(const blackboard::Upstream& upstream) {
  const auto found = rows_.find(upstream.name);
  if (found != rows_.end()) {
    NoteColdStart(upstream, found->second);
    return found->second;
  }
  const int max_in_flight = std::max(
      1, std::min({InFlightLimit(policy_, upstream),
                   upstream.slots + kPipelinedRequests, upstream.connections}));
  Row row{
      admission::LeafWindow(max_in_flight, std::max(1, upstream.connections)),
      0, base::MonotonicTime{}};
  NoteColdStart(upstream, row);
  return rows_.emplace(upstream.name, std::move(row)).first->second;
}

void LeafWindows::NoteColdStart(const blackboard::Upstream& upstream,
                                Row& row) {
  if (upstream.state == blackboard::UpstreamState::kCold &&
      row.cold_since != upstream.cold_since) {
    row.cold_since = upstream.cold_since;
    row.window.set_cold_since(upstream.cold_since);
  }
}

bool LeafWindows::TryAcquire(const blackboard::Upstream& upstream) {
  const std::lock_guard lock(mutex_);
  Row& row = RowOf(upstream);
  if (InFlightLimit(policy_, upstream) == kUnlimited) {
    ++row.unlimited_in_flight;
    return true;
  }
  return row.window.TryAcquire(clock_.Now());
}

void LeafWindows::Release(const std::string& upstream,
                          const upstream::LeafReply& reply) {
  const std::lock_guard lock(mutex_);
  const auto found = rows_.find(upstream);
  if (found == rows_.end()) {
    return;
  }
  Row& row = found->second;
  if (row.unlimited_in_flight > 0) {
    --row.unlimited_in_flight;
    return;
  }
  row.window.Release();
  const base::MonotonicTime now = clock_.Now();
  // Only answers and refusals indicate the leaf's load: a connection that fails
  // immediately must not be taken for a fast reply.
  if (reply.outcome == upstream::LeafOutcome::kAnswered || IsShed(reply)) {
    row.window.DidReply(reply.service_time, IsShed(reply), now);
  }
  if (IsShed(reply)) {
    row.window.PauseFor(reply.retry_after, now);
  }
}

bool LeafWindows::has_room(const blackboard::Upstream& upstream) {
  const std::lock_guard lock(mutex_);
  Row& row = RowOf(upstream);
  return InFlightLimit(policy_, upstream) == kUnlimited ||
         row.window.has_room(clock_.Now());
}

int LeafWindows::in_flight(const blackboard::Upstream& upstream) {
  const std::lock_guard lock(mutex_);
  Row& row = RowOf(upstream);
  return row.window.in_flight() + row.unlimited_in_flight;
}

int LeafWindows::limit(const blackboard::Upstream& upstream) {
  const std::lock_guard lock(mutex_);
  return RowOf(upstream).window.limit();
}

}  // namespace medlarspread::routing
