// One ordered line per class, merged when an item is taken, because the burn of
// a class changes while its items wait.

#include "src/admission/urgency_queue.h"

#include <algorithm>
#include <cassert>

namespace medlarspread::admission {
namespace {

// A burning class counts as due earlier by at most this share of its target.
// More would let a class with a loose target, once it gives way and burns,
// overtake those it gave way to.
constexpr double kMaximumAdvance = 0.25;
// The burn at which the advance is half of the maximum.
constexpr double kHalfBurn = 2.0;

}  // namespace

UrgencyQueue::UrgencyQueue(const blackboard::Blackboard& blackboard)
    : blackboard_(blackboard) {}

void UrgencyQueue::Push(QueueItem item) {
  assert(!items_.contains(item.id));
  Line& line = item.is_hedge ? hedges_ : lines_[item.class_name];
  line.emplace(item.target_due, item.id);
  deadlines_.emplace(item.deadline, item.id);
  items_.emplace(item.id, std::move(item));
}

std::optional<std::uint64_t> UrgencyQueue::Pop(base::MonotonicTime now,
                                               const Predicate& predicate) {
  std::optional<std::uint64_t> found = FindHedge(predicate);
  if (!found) {
    found = FindInLines(LinesInTime(now), predicate);
  }
  if (!found) {
    found = FindInLines(LinesLate(now), predicate);
  }
  if (found) {
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
    hedges_.erase({item.target_due, id});
  } else {
    const auto line = lines_.find(item.class_name);
    line->second.erase({item.target_due, id});
    if (line->second.empty()) {
      lines_.erase(line);
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
  std::size_t ahead = hedges_.size();
  if (!item.is_hedge) {
    const base::MonotonicTime due =
        item.target_due - AdvanceOf(item.class_name);
    for (const auto& [class_name, line] : lines_) {
      const auto bound = line.lower_bound({due + AdvanceOf(class_name), 0});
      ahead += static_cast<std::size_t>(std::distance(line.begin(), bound));
    }
  }
  constexpr double kMicrosecondsPerSecond = 1e6;
  return base::Duration(static_cast<std::int64_t>(static_cast<double>(ahead) *
                                                  kMicrosecondsPerSecond /
                                                  completions_per_second));
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

std::optional<std::uint64_t> UrgencyQueue::FindInLines(
    std::vector<Cursor> cursors,
    const Predicate& predicate) const {
  for (;;) {
    Cursor* first = nullptr;
    for (Cursor& cursor : cursors) {
      if (cursor.position == cursor.end) {
        continue;
      }
      if (!first || cursor.position->first - cursor.advance <
                        first->position->first - first->advance) {
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

std::vector<UrgencyQueue::Cursor> UrgencyQueue::LinesInTime(
    base::MonotonicTime now) const {
  std::vector<Cursor> cursors;
  for (const auto& [class_name, line] : lines_) {
    cursors.push_back(
        {&line, line.lower_bound({now, 0}), line.end(), AdvanceOf(class_name)});
  }
  return cursors;
}

std::vector<UrgencyQueue::Cursor> UrgencyQueue::LinesLate(
    base::MonotonicTime now) const {
  std::vector<Cursor> cursors;
  for (const auto& [class_name, line] : lines_) {
    cursors.push_back({&line, line.begin(), line.lower_bound({now, 0}),
                       AdvanceOf(class_name)});
  }
  return cursors;
}

base::Duration UrgencyQueue::AdvanceOf(const std::string& class_name) const {
  const auto burn = blackboard_.burn.Read();
  const auto row = burn->classes.find(class_name);
  if (row == burn->classes.end()) {
    return base::Duration{};
  }
  const auto targets = blackboard_.targets.Read();
  const auto target = targets->classes.find(class_name);
  if (target == targets->classes.end()) {
    return base::Duration{};
  }
  const double excess = std::max(0.0, row->second.short_window_burn - 1.0);
  const double share = kMaximumAdvance * excess / (excess + kHalfBurn);
  return base::Duration(static_cast<std::int64_t>(
      static_cast<double>(target->second.latency.count()) * share));
}

}  // namespace medlarspread::admission
