// The final answer to a caller's request. It is one of three: answered, refused
// (certainly not executed) or unknown (may have been executed).

#ifndef MEDLARSPREAD_QUERY_CALLER_ANSWER_H_
#define MEDLARSPREAD_QUERY_CALLER_ANSWER_H_

#include <functional>
#include <string>
#include <variant>
#include <vector>

#include "src/base/clock.h"
#include "src/base/error.h"
#include "src/blackboard/views.h"
#include "src/query/caller_request.h"

namespace medlarspread::query {

// The share of the snapshot's key space that an answer was made from.
struct Coverage {
  // 0 to 1; exactly 1 only when nothing is missing.
  double share = 0.0;
  int shards_answered = 0;
  int shards_total = 0;
  // The ranges that no shard answered for, ordered by `low`.
  std::vector<blackboard::KeyRange> missing;
  // Invariant: false only if `share` is 1 and `missing` is empty.
  bool is_partial = true;
};

struct Answered {
  std::string request_id;
  // Every item comes from this snapshot.
  blackboard::Snapshot snapshot;
  Coverage coverage;
  // From the arrival of the request until this answer was made.
  base::Duration latency{};
  // A JSON array, as text.
  std::string items = "[]";
};

// Determines the HTTP status, so that callers can tell that they send too much
// (429) from a system that cannot serve anybody at present (503).
enum class RefusalKind {
  // 429: the system is up, but has no capacity to answer this request in time.
  kOverload,
  // 503: the daemon is stopping or not ready, or a required component cannot be
  // reached.
  kUnavailable,
  // 503: leaf processes crashed while executing this request, so it is no
  // longer sent to any leaf.
  kQuarantined,
};

// The request was not executed and will not be.
struct Refused {
  std::string request_id;
  base::Error error;
  // The earliest time at which the caller should retry.
  base::Duration retry_after{};
  RefusalKind kind = RefusalKind::kUnavailable;
  // The request was sent to leaves, and each of them rejected it.
  bool did_reach_leaves = false;
};

// The request may have been executed; its result is not known.
struct Unknown {
  std::string request_id;
  base::Error error;
};

using CallerAnswer = std::variant<Answered, Refused, Unknown>;

using AnswerCallback = std::function<void(CallerAnswer)>;

// Starts processing a request. The callback runs once, on any traffic thread,
// shortly after the request's deadline at the latest.
using SubmitRequest = std::function<void(CallerRequest, AnswerCallback)>;

}  // namespace medlarspread::query

#endif  // MEDLARSPREAD_QUERY_CALLER_ANSWER_H_
