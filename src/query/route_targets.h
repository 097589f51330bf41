// The targets of a route for one request: when to answer, and with how much.

#ifndef MEDLARSPREAD_QUERY_ROUTE_TARGETS_H_
#define MEDLARSPREAD_QUERY_ROUTE_TARGETS_H_

#include <algorithm>
#include <cmath>

#include "src/base/clock.h"
#include "src/blackboard/views.h"
#include "src/query/forwarded_request.h"

namespace medlarspread::query {

// What the caller's clock shows beyond this daemon's: 3 ms each way, a new
// connection, and the processor's own delay. The target and the deadline are
// met at the caller.
constexpr base::Duration kTargetMargin = base::Milliseconds(16);
constexpr base::Duration kDeadlineMargin = base::Milliseconds(12);

// How long a request that has waited already may be worked on before an answer
// with the least coverage goes out.
inline base::Duration TimeToTarget(const blackboard::WorkRoute& route,
                                   base::Duration waited) {
  return std::max(base::Duration{},
                  route.targets.latency - waited - kTargetMargin);
}

// How long it may be worked on in all, from its arrival here.
inline base::Duration TimeToDeadline(const ForwardedRequest& request) {
  return std::max(
      base::Duration{},
      std::min(request.deadline, request.route->timeout - request.waited) -
          kDeadlineMargin);
}

// How many of the shards an answer needs; at least one.
inline int LeastAnswers(const blackboard::WorkRoute& route, int shards) {
  // 0.9 of ten is nine, whatever the product is in binary.
  constexpr double kRounding = 1e-9;
  const double least = route.targets.coverage * static_cast<double>(shards);
  return std::max(1, static_cast<int>(std::ceil(least - kRounding)));
}

}  // namespace medlarspread::query

#endif  // MEDLARSPREAD_QUERY_ROUTE_TARGETS_H_
