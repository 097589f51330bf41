// A map of the keys and a bounded list of changes.

#include "src/store/event_log.h"

#include <algorithm>
#include <utility>

#include "src/store/item_hash.h"

namespace medlarspread::store {

namespace {

// A follower in the same failure domain asks every second or more often; a
// release changes some hundred entries in that time.
constexpr std::size_t kMaxChanges = 2'000;
// A fleet of 8,700 leaves and 1,500 daemons removes this many keys in one or
// two days.
constexpr std::size_t kMaxRemovals = 4'000;

}  // namespace

void EventLog::Append(const std::vector<Event>& events,
                      const Position& reached) {
  for (const Event& event : events) {
    if (event.value) {
      SetItem(event);
      removals_.erase(event.key);
    } else {
      RemoveItem(event.key);
      removals_[event.key] = event.position();
    }
    changes_.emplace_back(++cursor_, event);
  }
  DidReach(reached);
  while (changes_.size() > kMaxChanges) {
    trimmed_cursor_ = changes_.front().first;
    changes_.pop_front();
  }
  TrimRemovals();
}

void EventLog::SetItem(const Event& event) {
  RemoveItem(event.key);
  digest_ ^= HashItem(event.key, *event.value);
  items_[event.key] = event;
}

void EventLog::RemoveItem(const std::string& key) {
  const auto item = items_.find(key);
  if (item != items_.end()) {
    digest_ ^= HashItem(key, *item->second.value);
    items_.erase(item);
  }
}

void EventLog::DidList(const Position& position) {
  removals_complete_since_ =
      std::max(removals_complete_since_.value_or(position), position);
}

void EventLog::DidReach(const Position& position) {
  position_ = std::max(position_, position);
}

void EventLog::TrimRemovals() {
  while (removals_.size() > kMaxRemovals) {
    const auto oldest =
        std::min_element(removals_.begin(), removals_.end(),
                         [](const auto& left, const auto& right) {
                           return left.second < right.second;
                         });
    DidList(oldest->second);
    removals_.erase(oldest);
  }
}

std::optional<std::vector<Event>> EventLog::ChangesSince(
    const Position& position) const {
  if (position.era != position_.era || !removals_complete_since_ ||
      position < *removals_complete_since_) {
    return std::nullopt;
  }
  std::vector<Event> events;
  for (const auto& [key, event] : items_) {
    if (event.position() > position) {
      events.push_back(event);
    }
  }
  for (const auto& [key, removed_at] : removals_) {
    if (removed_at > position) {
      events.push_back(
          {key, std::nullopt, removed_at.revision, removed_at.era});
    }
  }
  std::stable_sort(events.begin(), events.end(),
                   [](const Event& left, const Event& right) {
                     return left.position() < right.position();
                   });
  return events;
}

std::vector<Event> EventLog::AllItems() const {
  std::vector<Event> events;
  events.reserve(items_.size());
  for (const auto& [key, event] : items_) {
    events.push_back(event);
  }
  return events;
}

std::optional<std::vector<Event>> EventLog::ChangesAfter(
    std::int64_t cursor) const {
  if (cursor < trimmed_cursor_ || cursor > cursor_) {
    return std::nullopt;
  }
  std::vector<Event> events;
  for (const auto& [position, event] : changes_) {
    if (position > cursor) {
      events.push_back(event);
    }
  }
  return events;
}

}  // namespace medlarspread::store
