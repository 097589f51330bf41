// The keys of the store as this daemon knows them, and the latest changes, for
// peers that read from this daemon instead of the store.
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
  // `first_cursor` must differ from the cursors of an earlier process on this
  // VM, so that a cursor of that process is not accepted here.
  explicit EventLog(std::int64_t first_cursor)
      : trimmed_cursor_(first_cursor), cursor_(first_cursor) {}

  // With these changes, all changes up to `reached` are known here.
  void Append(const std::vector<Event>& events, const Position& reached);
  // All keys were listed at that position of the store. Keys that came and went
  // before it may be missing from this log.
  void DidList(const Position& position);
  // All changes up to that position have been appended.
  void DidReach(const Position& position);

  // All keys.
  std::vector<Event> AllItems() const;
  // The changes after `cursor`; absent if some of them have been trimmed or the
  // cursor is unknown.
  std::optional<std::vector<Event>> ChangesAfter(std::int64_t cursor) const;
  // The keys written and removed since that position of the store. Absent if
  // not all removals since then are known, or if the store was restored in
  // between.
  std::optional<std::vector<Event>> ChangesSince(
      const Position& position) const;

  // Combines the hashes of all items (HashItem()); equal for logs with the same
  // items.
  std::uint64_t digest() const { return digest_; }
  // The cursor of the last change.
  std::int64_t cursor() const { return cursor_; }
  // The position up to which the store is known.
  const Position& position() const { return position_; }

 private:
  void SetItem(const Event& event);
  void RemoveItem(const std::string& key);
  void TrimRemovals();

  std::map<std::string, Event> items_;
  // Invariant: the exclusive or of the hashes of `items_`.
  std::uint64_t digest_ = 0;
  // Removed keys and the positions of their removal.
  std::map<std::string, Position> removals_;
  // All removals after this position are in `removals_`; absent before the
  // first list.
  std::optional<Position> removals_complete_since_;
  // By cursor, in the order in which they were appended. That may differ from
  // the order of their revisions, since a removal may be reported late.
  std::deque<std::pair<std::int64_t, Event>> changes_;
  // Changes up to this cursor are no longer in `changes_`.
  std::int64_t trimmed_cursor_;
  std::int64_t cursor_;
  Position position_;
};

}  // namespace medlarspread::store

#endif  // MEDLARSPREAD_STORE_EVENT_LOG_H_
