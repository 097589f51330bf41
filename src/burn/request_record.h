// What is counted of one caller's request. The query session posts one record
// for every request that it answers; the burn report adds them up.

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
  // When the request was asked, by the wall clock; decides its minute.
  std::int64_t asked_wall_ms = 0;
  // The revision and targets in force when it was asked: it is judged by them.
  std::int64_t targets_revision = 0;
  base::Duration latency_target{};
  double coverage_target = 0.0;
  // Out of 100: how many requests must meet the latency and coverage targets.
  // All of them, unless said otherwise: a target is never made easier by
  // forgetting to state it.
  double latency_percentile = 100.0;
  double coverage_percentile = 100.0;

  RequestOutcome outcome = RequestOutcome::kRefused;
  base::Duration latency{};
  // Share of the key space that the answer covered, 0 to 1.
  double coverage = 0.0;
  // Answers of shards that the answer was made of, and sends to upstreams.
  std::int32_t shard_answers = 0;
  std::int32_t upstream_sends = 0;
};

// Must not block; called from traffic threads.
using RecordRequest = std::function<void(const RequestRecord&)>;

}  // namespace medlarspread::burn

#endif  // MEDLARSPREAD_BURN_REQUEST_RECORD_H_
