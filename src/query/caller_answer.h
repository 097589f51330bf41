// The final answer to one request of a caller. There are three: answered,
// refused (certainly not run) and unknown (may have run).

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

// Decides the status of the answer, so that callers can tell a refusal of
// their own excess from a system that can't serve anybody for now.
enum class RefusalKind {
  // 429: the system is up, but has no room for this request in time.
  kOverload,
  // 503: stopping, not ready, or what the request needs can't be reached.
  kUnavailable,
  // 503: it ended the leaves that ran it, and reaches none any more.
  kQuarantined,
};

// The request was not run, and will not be run.
struct Refused {
  std::string request_id;
  base::Error error;
  // When to submit the request again at the earliest.
  base::Duration retry_after{};
  RefusalKind kind = RefusalKind::kUnavailable;
  // Leaves got the request, and each of them rejected it.
  bool did_reach_leaves = false;
};

// The request may have run; its result can't be told.
struct Unknown {
  std::string request_id;
  base::Error error;
};

using CallerAnswer = std::variant<Answered, Refused, Unknown>;

using AnswerCallback = std::function<void(CallerAnswer)>;

// Starts the work on one request. Calls back once, from any traffic thread, at
// the latest shortly after the request's deadline.
using SubmitRequest = std::function<void(CallerRequest, AnswerCallback)>;

}  // namespace medlarspread::query

#endif  // MEDLARSPREAD_QUERY_CALLER_ANSWER_H_
