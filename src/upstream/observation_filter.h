// Decides on the traffic threads which replies are passed to the control
// thread. Of tens of thousands of replies a second, most only confirm that a
// leaf is serving; the control thread receives such replies occasionally.

#ifndef MEDLARSPREAD_UPSTREAM_OBSERVATION_FILTER_H_
#define MEDLARSPREAD_UPSTREAM_OBSERVATION_FILTER_H_

#include <mutex>
#include <string>
#include <unordered_map>

#include "src/base/clock.h"
#include "src/blackboard/views.h"
#include "src/upstream/leaf_port.h"

namespace medlarspread::upstream {

// Thread-safe.
class ObservationFilter {
 public:
  explicit ObservationFilter(base::Duration interval) : interval_(interval) {}

  // Whether `reply` of `known`, a leaf as currently published, must be passed
  // on: it contradicts the known state, is a failure, ends a series of
  // failures, or none was passed on for the interval. Failures and
  // contradictions of one leaf are limited to a few per interval, but the first
  // reply that states draining is always passed on.
  bool ShouldPassOn(const blackboard::Upstream& known,
                    const LeafReply& reply,
                    base::MonotonicTime now);
  void Forget(const std::string& name);

 private:
  struct Row {
    base::MonotonicTime last_passed;
    // Number passed on since `interval_started`.
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
