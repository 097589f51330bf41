// A map of the keys and a bounded list of changes.

#include "src/store/event_log.h"

#include <algorithm>
#include <utility>

namespace medlarspread::store {

namespace {

// A reader in the same failure domain asks every second or less; a release
// changes some hundred entries in that time.
constexpr std::size_t kMostChanges = 2'000;

}  // namespace

void EventLog::Append(const std::vector<Event>& events) {
  for (const Event& event : events) {
    if (event.value) {
      items_[event.key] = event;
    } else {
      items_.erase(event.key);
    }
    revision_ = std::max(revision_, event.revision);
    changes_.emplace_back(++cursor_, event);
  }
  while (changes_.size() > kMostChanges) {
    forgotten_ = changes_.front().first;
    changes_.pop_front();
  }
}

std::vector<Event> EventLog::Everything() const {
  std::vector<Event> events;
  events.reserve(items_.size());
  for (const auto& [key, event] : items_) {
    events.push_back(event);
  }
  return events;
}

std::optional<std::vector<Event>> EventLog::ChangesAfter(
    std::int64_t cursor) const {
  if (cursor < forgotten_ || cursor > cursor_) {
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
