// Keeps one ordered queue per class and merges the queues when an item is
// taken, because the error budget burn of a class changes while its items wait.

#include "src/admission/urgency_queue.h"

#include <algorithm>
#include <cassert>

namespace medlarspread::admission {
namespace {

// The slack of a class as a multiple of its latency target.
constexpr double kSlackMultiple = 1.0;
// Error budget burn takes away at most this share of the slack. With more, a
// class with a loose target that burns its budget while it yields to other
// classes would overtake them.
constexpr double kMaximumBurnShare = 0.5;
// The burn in excess of 1 that takes away half of that share.
constexpr double kHalfBurn = 2.0;
// Number of recent slots from which the share of each class is estimated, and
// the lowest share that is assumed.
constexpr double kMaxCountedPops = 200.0;
constexpr double kMinShare = 0.01;
// Separates the queues of two classes whatever the age of their items.
constexpr double kStrictMultiple = 1e4;

// The part of the slack that is left by the class's burn, from 0 to 1.
double SlackLeft(const blackboard::BurnView& burn,
                 const std::string& class_name) {
  const auto row = burn.classes.find(class_name);
  if (row == burn.classes.end()) {
    return 1.0;
  }
  const double excess = std::max(0.0, row->second.short_window_burn - 1.0);
  return 1.0 - kMaximumBurnShare * excess / (excess + kHalfBurn);
}

}  // namespace

UrgencyQueue::UrgencyQueue(const blackboard::Blackboard& blackboard,
                           UrgencyOrder order)
    : blackboard_(blackboard), order_(order) {}

void UrgencyQueue::Push(QueueItem item) {
  assert(!items_.contains(item.id));
  OrderedItems& queue =
      item.is_hedge ? hedges_ : class_queues_[item.class_name];
  queue.emplace(SortKeyOf(item), item.id);
  deadlines_.emplace(item.deadline, item.id);
  items_.emplace(item.id, std::move(item));
}

std::optional<std::uint64_t> UrgencyQueue::Pop(base::MonotonicTime now,
                                               const Predicate& predicate) {
  std::optional<std::uint64_t> found = FindHedge(predicate);
  if (!found) {
    found = FindInQueues(CursorsInTime(now), predicate);
  }
  if (!found) {
    found = FindInQueues(CursorsLate(now), predicate);
  }
  if (found) {
    DidPop(items_.at(*found).class_name);
    Remove(*found);
  }
  return found;
}

bool UrgencyQueue::Remove(std::uint64_t id) {
  const auto found = items_.find(id);
  if (found == items_.end()) {
    return false;
  }
  const QueueItem& item = found->second;
  deadlines_.erase({item.deadline, id});
  if (item.is_hedge) {
    hedges_.erase({SortKeyOf(item), id});
  } else {
    const auto queue = class_queues_.find(item.class_name);
    queue->second.erase({SortKeyOf(item), id});
    if (queue->second.empty()) {
      class_queues_.erase(queue);
    }
  }
  items_.erase(found);
  return true;
}

std::vector<std::uint64_t> UrgencyQueue::TakeExpired(base::MonotonicTime now) {
  std::vector<std::uint64_t> expired;
  while (!deadlines_.empty() && deadlines_.begin()->first <= now) {
    expired.push_back(deadlines_.begin()->second);
    Remove(expired.back());
  }
  return expired;
}

base::Duration UrgencyQueue::ExpectedWait(const QueueItem& item,
                                          double completions_per_second) const {
  assert(completions_per_second > 0);
  double wait = static_cast<double>(CountAhead(item)) / completions_per_second;
  const auto queue = class_queues_.find(item.class_name);
  const auto pops = pops_by_class_.find(item.class_name);
  if (!item.is_hedge && queue != class_queues_.end() && pops_ > 0) {
    const double popped = pops == pops_by_class_.end() ? 0.0 : pops->second;
    const double share = std::max(kMinShare, popped / pops_);
    wait = std::max(wait, static_cast<double>(queue->second.size()) /
                              (share * completions_per_second));
  }
  constexpr double kMicrosecondsPerSecond = 1e6;
  return base::Duration(
      static_cast<std::int64_t>(wait * kMicrosecondsPerSecond));
}

std::size_t UrgencyQueue::CountAhead(const QueueItem& item) const {
  std::size_t ahead = hedges_.size();
  if (item.is_hedge) {
    return ahead;
  }
  const base::MonotonicTime sort_key =
      SortKeyOf(item) + OffsetOf(item.class_name);
  for (const auto& [class_name, queue] : class_queues_) {
    const auto bound =
        queue.lower_bound({sort_key - OffsetOf(class_name), item.id});
    ahead += static_cast<std::size_t>(std::distance(queue.begin(), bound));
  }
  return ahead;
}

void UrgencyQueue::DidPop(const std::string& class_name) {
  pops_by_class_[class_name] += 1.0;
  pops_ += 1.0;
  if (pops_ < kMaxCountedPops) {
    return;
  }
  pops_ /= 2;
  for (auto& [name, pops] : pops_by_class_) {
    pops /= 2;
  }
}

std::optional<std::uint64_t> UrgencyQueue::FindHedge(
    const Predicate& predicate) const {
  for (const auto& [due, id] : hedges_) {
    if (predicate(items_.at(id))) {
      return id;
    }
  }
  return std::nullopt;
}

std::optional<std::uint64_t> UrgencyQueue::FindInQueues(
    std::vector<Cursor> cursors,
    const Predicate& predicate) const {
  for (;;) {
    Cursor* first = nullptr;
    for (Cursor& cursor : cursors) {
      if (cursor.position == cursor.end) {
        continue;
      }
      if (!first || cursor.position->first + cursor.offset <
                        first->position->first + first->offset) {
        first = &cursor;
      }
    }
    if (!first) {
      return std::nullopt;
    }
    const std::uint64_t id = first->position->second;
    if (predicate(items_.at(id))) {
      return id;
    }
    ++first->position;
  }
}

std::vector<UrgencyQueue::Cursor> UrgencyQueue::CursorsInTime(
    base::MonotonicTime now) const {
  const base::MonotonicTime bound = LateThreshold(now);
  std::vector<Cursor> cursors;
  for (const auto& [class_name, queue] : class_queues_) {
    cursors.push_back({&queue, queue.lower_bound({bound, 0}), queue.end(),
                       OffsetOf(class_name)});
  }
  return cursors;
}

std::vector<UrgencyQueue::Cursor> UrgencyQueue::CursorsLate(
    base::MonotonicTime now) const {
  const base::MonotonicTime bound = LateThreshold(now);
  std::vector<Cursor> cursors;
  for (const auto& [class_name, queue] : class_queues_) {
    cursors.push_back({&queue, queue.begin(), queue.lower_bound({bound, 0}),
                       OffsetOf(class_name)});
  }
  return cursors;
}

base::MonotonicTime UrgencyQueue::LateThreshold(base::MonotonicTime now) const {
  return order_ == UrgencyOrder::kArrival ? base::MonotonicTime{} : now;
}

base::MonotonicTime UrgencyQueue::SortKeyOf(const QueueItem& item) const {
  if (order_ == UrgencyOrder::kArrival) {
    return {static_cast<std::int64_t>(item.id)};
  }
  return item.target_due;
}

base::Duration UrgencyQueue::OffsetOf(const std::string& class_name) const {
  if (order_ == UrgencyOrder::kArrival || order_ == UrgencyOrder::kTargetDue) {
    return base::Duration{};
  }
  const auto targets = blackboard_.targets.Read();
  const auto target = targets->classes.find(class_name);
  if (target == targets->classes.end()) {
    return base::Duration{};
  }
  const double multiple =
      order_ == UrgencyOrder::kTightestClass
          ? kStrictMultiple
          : kSlackMultiple * SlackLeft(*blackboard_.burn.Read(), class_name);
  return base::Duration(static_cast<std::int64_t>(
      static_cast<double>(target->second.latency.count()) * multiple));
}

}  // namespace medlarspread::admission
