// Decides on the traffic threads which replies the control thread must see. At
// tens of thousands of replies a second most say only that a leaf serves, as
// is known; the control thread takes note of that now and then.

#ifndef MEDLARSPREAD_UPSTREAM_OBSERVATION_FILTER_H_
#define MEDLARSPREAD_UPSTREAM_OBSERVATION_FILTER_H_

#include <mutex>
#include <string>
#include <unordered_map>

#include "src/base/clock.h"
#include "src/blackboard/views.h"
#include "src/upstream/leaf_port.h"

namespace medlarspread::upstream {

// Safe to use from any thread.
class ObservationFilter {
 public:
  explicit ObservationFilter(base::Duration interval) : interval_(interval) {}

  // Whether `reply` of `known`, a leaf as it is published now, is news: it
  // contradicts what is known, it is a failure, it ends a row of failures, or
  // nothing was passed on for the interval. Of one leaf's failures and
  // contradictions a few an interval are passed on, the first word that it
  // drains always.
  bool IsNews(const blackboard::Upstream& known,
              const LeafReply& reply,
              base::MonotonicTime now);
  void Forget(const std::string& name);

 private:
  struct Row {
    base::MonotonicTime last_passed;
    // Passed on since `interval_started`.
    int passed = 0;
    base::MonotonicTime interval_started;
    bool has_failed = false;
  };

  const base::Duration interval_;
  std::mutex mutex_;
  std::unordered_map<std::string, Row> rows_;
};

}  // namespace medlarspread::upstream

#endif  // MEDLARSPREAD_UPSTREAM_OBSERVATION_FILTER_H_
