// The latency and coverage targets of a route, applied to one request.

#ifndef MEDLARSPREAD_QUERY_ROUTE_TARGETS_H_
#define MEDLARSPREAD_QUERY_ROUTE_TARGETS_H_

#include <algorithm>
#include <cmath>

#include "src/base/clock.h"
#include "src/blackboard/views.h"
#include "src/query/forwarded_request.h"

namespace medlarspread::query {

// The difference between the latency that the caller measures and the one
// measured here: 3 ms each way, opening a connection, and processing delay. The
// latency target and the deadline apply at the caller.
constexpr base::Duration kTargetMargin = base::Milliseconds(16);
constexpr base::Duration kDeadlineMargin = base::Milliseconds(12);

// How long a request may still run before an answer with the minimum coverage
// goes out, given the time that it has already waited.
inline base::Duration TimeToTarget(const blackboard::WorkRoute& route,
                                   base::Duration waited) {
  return std::max(base::Duration{},
                  route.targets.latency - waited - kTargetMargin);
}

// How long the request may run in total, from its arrival here.
inline base::Duration TimeToDeadline(const ForwardedRequest& request) {
  return std::max(
      base::Duration{},
      std::min(request.deadline, request.route->timeout - request.waited) -
          kDeadlineMargin);
}

// The minimum number of shards that an answer needs; at least one.
inline int MinAnswers(const blackboard::WorkRoute& route, int shards) {
  // 0.9 of 10 must give 9 whatever the rounding of the binary product.
  constexpr double kRounding = 1e-9;
  const double least = route.targets.coverage * static_cast<double>(shards);
  return std::max(1, static_cast<int>(std::ceil(least - kRounding)));
}

}  // namespace medlarspread::query

#endif  // MEDLARSPREAD_QUERY_ROUTE_TARGETS_H_
