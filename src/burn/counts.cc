// Evaluates single requests against the targets in force when they arrived.

#include "src/burn/counts.h"

#include <cassert>
#include <cmath>

namespace medlarspread::burn {

namespace {

constexpr double kPercent = 100.0;

std::int64_t AllowedPpm(double percentile) {
  return std::llround((kPercent - percentile) / kPercent * kMillion);
}

}  // namespace

Counts& Counts::operator+=(const Counts& other) {
  asked += other.asked;
  answered += other.answered;
  in_time += other.in_time;
  coverage_met += other.coverage_met;
  both_met += other.both_met;
  refused += other.refused;
  unknown += other.unknown;
  shard_answers += other.shard_answers;
  upstream_sends += other.upstream_sends;
  return *this;
}

Counts& Counts::operator-=(const Counts& other) {
  asked -= other.asked;
  answered -= other.answered;
  in_time -= other.in_time;
  coverage_met -= other.coverage_met;
  both_met -= other.both_met;
  refused -= other.refused;
  unknown -= other.unknown;
  shard_answers -= other.shard_answers;
  upstream_sends -= other.upstream_sends;
  return *this;
}

CellKey KeyOf(const RequestRecord& record) {
  return {MinuteOf(record.asked_wall_ms), record.class_name,
          AppliedTargets{record.targets_revision, record.latency_target.count(),
                         std::llround(record.coverage_target * kMillion),
                         AllowedPpm(record.latency_percentile),
                         AllowedPpm(record.coverage_percentile)}};
}

Counts CountOf(const RequestRecord& record) {
  Counts counts;
  counts.asked = 1;
  counts.shard_answers = record.shard_answers;
  counts.upstream_sends = record.upstream_sends;
  counts.refused = record.outcome == RequestOutcome::kRefused ? 1 : 0;
  counts.unknown = record.outcome == RequestOutcome::kUnknown ? 1 : 0;
  if (record.outcome != RequestOutcome::kAnswered) {
    return counts;
  }
  const bool is_in_time = record.latency <= record.latency_target;
  const bool is_covered = record.coverage >= record.coverage_target;
  counts.answered = 1;
  counts.in_time = is_in_time ? 1 : 0;
  counts.coverage_met = is_covered ? 1 : 0;
  counts.both_met = is_in_time && is_covered ? 1 : 0;
  return counts;
}

void Add(const Cells& from, Cells& to) {
  for (const auto& [key, counts] : from) {
    to[key] += counts;
  }
}

void Subtract(const Cells& part, Cells& from) {
  for (const auto& [key, counts] : part) {
    const auto found = from.find(key);
    assert(found != from.end());
    found->second -= counts;
    if (found->second == Counts{}) {
      from.erase(found);
    }
  }
}

std::int64_t MinuteOf(std::int64_t wall_ms) {
  const std::int64_t minute = wall_ms / kMillisecondsPerMinute;
  return wall_ms % kMillisecondsPerMinute < 0 ? minute - 1 : minute;
}

}  // namespace medlarspread::burn
