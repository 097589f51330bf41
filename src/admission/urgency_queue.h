// Priority queue of the shard requests that wait for a slot at the leaves of
// one shard.
//
// 1. Second sends come first: their requests already wait for a late replica,
//    and their number is bounded by a budget.
// 2. Then requests that can still meet the latency target of their class, in
//    the order given by UrgencyOrder.
// 3. Requests whose target has passed come last: they can't meet it any more
//    and must not make others miss theirs.
//
// Pure decision code: the time is passed in; used on one sequence.

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
#include "src/base/name_table.h"
#include "src/blackboard/blackboard.h"

namespace medlarspread::admission {

// Order of the requests that can still meet their target. All orders depend
// only on the configured targets; the first three are baselines for benchmarks.
enum class UrgencyOrder {
  // First come, first served; late requests are not moved to the end.
  kArrival,
  // Earliest target due time first.
  kTargetDue,
  // Class with the lowest latency target first, whatever the age of its items.
  kTightestClass,
  // Earliest target due time plus slack of the class first. The slack is a
  // multiple of the latency target, reduced by the class's error budget burn,
  // so the classes with most slack wait longest.
  kClassSlack,
};

constexpr base::NameTable<UrgencyOrder, 4> kUrgencyOrderNames{{{
    {UrgencyOrder::kArrival, "arrival"},
    {UrgencyOrder::kTargetDue, "target_due"},
    {UrgencyOrder::kTightestClass, "tightest_class"},
    {UrgencyOrder::kClassSlack, "class_slack"},
}}};

class UrgencyQueue {
 public:
  using Predicate = std::function<bool(const QueueItem&)>;

  // Reads `targets` and `burn`. The blackboard must outlive the queue.
  explicit UrgencyQueue(const blackboard::Blackboard& blackboard,
                        UrgencyOrder order = UrgencyOrder::kClassSlack);

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
  // `completions_per_second`, which must be positive. The identifier of `item`
  // must not be in the queue. The estimate is based on the items ahead and on
  // the share of recent slots that went to the item's class, because items of
  // other classes may still overtake it.
  base::Duration ExpectedWait(const QueueItem& item,
                              double completions_per_second) const;

 private:
  // By due time (by order of arrival under kArrival), then by identifier.
  using OrderedItems = std::set<std::pair<base::MonotonicTime, std::uint64_t>>;
  // A position in one queue while Pop() merges the queues.
  struct Cursor {
    const OrderedItems* queue;
    OrderedItems::const_iterator position;
    OrderedItems::const_iterator end;
    base::Duration offset;
  };

  std::optional<std::uint64_t> FindHedge(const Predicate& predicate) const;
  std::optional<std::uint64_t> FindInQueues(std::vector<Cursor> cursors,
                                            const Predicate& predicate) const;
  std::vector<Cursor> CursorsInTime(base::MonotonicTime now) const;
  std::vector<Cursor> CursorsLate(base::MonotonicTime now) const;
  // Items that are sorted before this key count as late.
  base::MonotonicTime LateThreshold(base::MonotonicTime now) const;
  // The key by which an item is sorted in its queue.
  base::MonotonicTime SortKeyOf(const QueueItem& item) const;
  std::size_t CountAhead(const QueueItem& item) const;
  // Records which class a slot went to.
  void DidPop(const std::string& class_name);
  // Added to the due times of a class when the queues are merged.
  base::Duration OffsetOf(const std::string& class_name) const;

  const blackboard::Blackboard& blackboard_;
  const UrgencyOrder order_;
  // Invariant: each item is in deadlines_ and in exactly one of hedges_ and
  // the queue of its class.
  std::unordered_map<std::uint64_t, QueueItem> items_;
  OrderedItems hedges_;
  std::map<std::string, OrderedItems> class_queues_;
  OrderedItems deadlines_;
  // Decaying count of the recent slots that went to each class. Invariant:
  // pops_ is their sum and at most kMaxCountedPops.
  std::map<std::string, double> pops_by_class_;
  double pops_ = 0.0;
};

}  // namespace medlarspread::admission

#endif  // MEDLARSPREAD_ADMISSION_URGENCY_QUEUE_H_
