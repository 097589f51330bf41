// Records the queries that a leaf received and ran, so that tests can check how
// often a request ran and when the last query arrived.

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

  // Called for each valid query that arrives, also if it is then refused.
  void DidArrive();
  // Called when a slot starts running the query.
  void DidStart(const LeafQuery& query);
  void DidShed() { ++shed_; }
  // Called when the leaf starts or stops draining.
  void SetDraining(bool is_draining);

  // Makes the body of GET /control/runs, for `request_id` or, if that is empty,
  // for all requests.
  std::string ToJson(const std::string& request_id) const;

 private:
  // Enough for several minutes at the highest request rate of one leaf.
  static constexpr std::size_t kMaxRuns = 200000;
  // The request ID and the low end of the range.
  using Key = std::pair<std::string, std::int32_t>;
  struct Run {
    blackboard::KeyRange range;
    bool is_at_most_once = false;
    int started = 0;
  };

  std::int64_t MillisecondsSince(base::MonotonicTime time) const;

  const base::Clock clock_;
  std::map<Key, Run> runs_;
  // The keys of runs_, oldest first. The oldest are evicted beyond kMaxRuns.
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
