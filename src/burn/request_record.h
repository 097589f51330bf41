// The record of one request of a caller. The query session records every
// request that it answers; the burn report sums these records.

#ifndef MEDLARSPREAD_BURN_REQUEST_RECORD_H_
#define MEDLARSPREAD_BURN_REQUEST_RECORD_H_

#include <cstdint>
#include <functional>
#include <string>

#include "src/base/clock.h"

namespace medlarspread::burn {

enum class RequestOutcome { kAnswered, kRefused, kUnknown };

struct RequestRecord {
  std::string class_name;
  // Arrival of the request by the wall clock; selects the minute it is counted
  // in.
  std::int64_t asked_wall_ms = 0;
  // The revision and targets in force at arrival, which the request is
  // evaluated against.
  std::int64_t targets_revision = 0;
  base::Duration latency_target{};
  double coverage_target = 0.0;
  // Percentage of requests that must meet the latency and coverage targets.
  // Defaults to all of them, so that a missing value never weakens a target.
  double latency_percentile = 100.0;
  double coverage_percentile = 100.0;

  RequestOutcome outcome = RequestOutcome::kRefused;
  base::Duration latency{};
  // Share of the key space that the answer covered, 0 to 1.
  double coverage = 0.0;
  // Number of shard answers that the answer was merged from, and of sends to
  // upstreams.
  std::int32_t shard_answers = 0;
  std::int32_t upstream_sends = 0;
};

// Called from traffic threads; must not block.
using RecordRequest = std::function<void(const RequestRecord&)>;

}  // namespace medlarspread::burn

#endif  // MEDLARSPREAD_BURN_REQUEST_RECORD_H_
