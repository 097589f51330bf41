// The keys of the store as this daemon knows them, and the latest changes, for
// those that ask this daemon instead of the store.
//
// Runs on the control thread.

#ifndef MEDLARSPREAD_STORE_EVENT_LOG_H_
#define MEDLARSPREAD_STORE_EVENT_LOG_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "src/store/event_source.h"

namespace medlarspread::store {

class EventLog {
 public:
  // `first_cursor` differs from that of an earlier process on this VM, so that
  // a cursor of that process is not taken for one of this.
  explicit EventLog(std::int64_t first_cursor)
      : trimmed_cursor_(first_cursor), cursor_(first_cursor) {}

  void Append(const std::vector<Event>& events);
  // Everything was read as it was at that position of the store. What came and
  // went before it was never heard of.
  void DidList(const Position& position);
  // All changes up to that position have been appended.
  void DidReach(const Position& position);

  // All keys.
  std::vector<Event> AllItems() const;
  // The changes after `cursor`; absent if they are no longer all known.
  std::optional<std::vector<Event>> ChangesAfter(std::int64_t cursor) const;
  // What somebody lacks who knows the store as it was at that position: the
  // keys written since, and those removed. Absent if not all removals since
  // then are known, or if the store has been restored between there and here.
  std::optional<std::vector<Event>> ChangesSince(
      const Position& position) const;

  // Names the last change.
  std::int64_t cursor() const { return cursor_; }
  // Up to where the store is known.
  const Position& position() const { return position_; }

 private:
  void TrimRemovals();

  std::map<std::string, Event> items_;
  // Keys that are gone and the positions at which they went.
  std::map<std::string, Position> removals_;
  // All removals at later positions are in `removals_`; absent before the first
  // reading.
  std::optional<Position> removals_complete_since_;
  // By cursor, in the order in which they were appended. That is not always
  // the order of their revisions: a removal may be told of late.
  std::deque<std::pair<std::int64_t, Event>> changes_;
  // Changes up to this cursor have left `changes_`.
  std::int64_t trimmed_cursor_;
  std::int64_t cursor_;
  Position position_;
};

}  // namespace medlarspread::store

#endif  // MEDLARSPREAD_STORE_EVENT_LOG_H_
