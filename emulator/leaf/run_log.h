// What a leaf remembers of the work it was given, so that a test can tell how
// often a request ran and when the last new work came.

#ifndef MEDLARSPREAD_EMULATOR_LEAF_RUN_LOG_H_
#define MEDLARSPREAD_EMULATOR_LEAF_RUN_LOG_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <utility>

#include "emulator/leaf/query_message.h"
#include "src/base/clock.h"

namespace medlarspread::emulator {

class RunLog {
 public:
  explicit RunLog(base::Clock clock) : clock_(clock) {}

  // Any query arrived, whatever becomes of it.
  void DidArrive();
  // A slot started on it.
  void DidStart(const LeafQuery& query);
  void DidShed() { ++shed_; }
  // The leaf began or ceased to drain.
  void SetDraining(bool is_draining);

  // The body of GET /control/runs; only of `request_id` unless it is empty.
  std::string ToJson(const std::string& request_id) const;

 private:
  // Enough for minutes at the highest rate that one leaf sees.
  static constexpr std::size_t kMaxRuns = 200000;
  // The request and the low end of its range.
  using Key = std::pair<std::string, std::int32_t>;
  struct Run {
    blackboard::KeyRange range;
    bool is_at_most_once = false;
    int started = 0;
  };

  std::int64_t MillisecondsSince(base::MonotonicTime time) const;

  const base::Clock clock_;
  std::map<Key, Run> runs_;
  // The keys of runs_, oldest first; the oldest are forgotten.
  std::deque<Key> order_;
  std::int64_t arrived_ = 0;
  std::int64_t started_ = 0;
  std::int64_t shed_ = 0;
  std::int64_t arrived_while_draining_ = 0;
  std::optional<base::MonotonicTime> last_arrival_;
  std::optional<base::MonotonicTime> draining_since_;
};

}  // namespace medlarspread::emulator

#endif  // MEDLARSPREAD_EMULATOR_LEAF_RUN_LOG_H_
