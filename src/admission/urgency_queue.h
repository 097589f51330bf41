// The order in which shard requests of one bundle of leaves get a free slot.
//
// 1. Second sends come first: each stands for a request that already waits for
//    a straggler, and their number is bounded by a budget.
// 2. Then requests that can still meet the latency target of their class, the
//    earliest due first. A class that spends its error budget too fast counts
//    as due earlier, so the class whose promise has most slack gives way.
// 3. Last come requests whose target has passed: they can't save the target and
//    must not make others miss theirs.
//
// Pure decision code: the time is passed in; calls come from one sequence.

#ifndef MEDLARSPREAD_ADMISSION_URGENCY_QUEUE_H_
#define MEDLARSPREAD_ADMISSION_URGENCY_QUEUE_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "src/admission/queue_item.h"
#include "src/base/clock.h"
#include "src/blackboard/blackboard.h"

namespace medlarspread::admission {

class UrgencyQueue {
 public:
  using Predicate = std::function<bool(const QueueItem&)>;

  // Reads `targets` and `burn`. The blackboard must outlive the queue.
  explicit UrgencyQueue(const blackboard::Blackboard& blackboard);

  // The item's identifier must not be in the queue.
  void Push(QueueItem item);
  // Removes and returns the most urgent item that `predicate` accepts.
  std::optional<std::uint64_t> Pop(base::MonotonicTime now,
                                   const Predicate& predicate);
  // Returns whether the item was in the queue.
  bool Remove(std::uint64_t id);
  // Removes all items whose deadline has passed and returns them.
  std::vector<std::uint64_t> TakeExpired(base::MonotonicTime now);
  std::size_t size() const { return items_.size(); }

  // How long `item` would wait if it were pushed now and the leaves completed
  // `completions_per_second`, which must be positive.
  base::Duration ExpectedWait(const QueueItem& item,
                              double completions_per_second) const;

 private:
  // By due time, then by identifier.
  using Line = std::set<std::pair<base::MonotonicTime, std::uint64_t>>;
  // A place in one line while Pop() merges the lines.
  struct Cursor {
    const Line* line;
    Line::const_iterator position;
    Line::const_iterator end;
    base::Duration advance;
  };

  std::optional<std::uint64_t> FindHedge(const Predicate& predicate) const;
  std::optional<std::uint64_t> FindInLines(std::vector<Cursor> cursors,
                                           const Predicate& predicate) const;
  std::vector<Cursor> LinesInTime(base::MonotonicTime now) const;
  std::vector<Cursor> LinesLate(base::MonotonicTime now) const;
  // By how much a class counts as due earlier than its target says.
  base::Duration AdvanceOf(const std::string& class_name) const;

  const blackboard::Blackboard& blackboard_;
  // Invariant: each item is in deadlines_ and in exactly one of hedges_ and
  // the line of its class.
  std::unordered_map<std::uint64_t, QueueItem> items_;
  Line hedges_;
  std::map<std::string, Line> lines_;
  Line deadlines_;
};

}  // namespace medlarspread::admission

#endif  // MEDLARSPREAD_ADMISSION_URGENCY_QUEUE_H_
