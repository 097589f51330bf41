// Keeps a copy of everything in the store and tells of every change.
//
// Steps:
//   1. Read all pages. Keys that were known and are missing have been removed.
//   2. Wait for the changes after the first page, apply them, and wait again.
//   3. If the store no longer knows the changes since then, go to 1. After any
//      other failure call again after a pause that grows.
//
// Invariant: the position of a key never goes back, whatever order answers
// come in. After a restore of the store (see Position) everything is read
// again; its revisions may then be lower than those of the era before.
//
// Entries that expired while the store was away, or that were lost when it was
// restored, are back shortly after its return, if their owner is alive. Until
// then their removal is held back, so that neither takes the leaves away.
//
// Runs on the control thread.

#ifndef MEDLARSPREAD_STORE_FOLLOWER_H_
#define MEDLARSPREAD_STORE_FOLLOWER_H_

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "src/base/clock.h"
#include "src/base/log.h"
#include "src/base/random.h"
#include "src/base/task_runner.h"
#include "src/store/event_source.h"

namespace medlarspread::store {

struct FollowerSettings {
  // How long one watch waits. A watch that the store has forgotten is found
  // out at its end, so this bounds how old the copy can be; each watch costs a
  // call.
  base::Duration watch_wait = base::Milliseconds(5'000);
  // How long removals are held back after an outage or a restore.
  base::Duration removal_delay = base::Milliseconds(2'500);
  // An outage shorter than this lets nothing expire.
  base::Duration min_outage = base::Milliseconds(2'000);
};

class Follower : public std::enable_shared_from_this<Follower> {
 public:
  // Changes that belong together, in the order of their revisions.
  using DidChange = std::function<void(const std::vector<Event>&)>;
  // Everything was read, as it was at that position; its changes follow.
  using DidListAt = std::function<void(const Position&)>;
  // All changes up to that position have been told.
  using DidReach = std::function<void(const Position&)>;

  Follower(FollowerSettings settings,
           base::Clock clock,
           std::shared_ptr<base::Random> random,
           base::TaskRunner control,
           EventSource source,
           DidListAt did_list,
           DidChange did_change,
           DidReach did_reach,
           base::Log log);

  void Start();
  void Stop();

  // Whether all pages were read at least once.
  bool is_complete() const { return is_complete_; }

 private:
  struct KeyState {
    Position position;
    bool is_removed = false;
    // Of its value; absent while it has none.
    std::optional<std::size_t> value_hash;
  };

  void List(std::string after);
  void DidList(const base::Result<Page>& page);
  void DidListAll();
  // The keys that the reading lacks, as removals.
  std::vector<Event> MissingFromList() const;
  void Watch();
  void DidWatch(base::MonotonicTime began,
                const base::Result<Changes>& changes);
  void Apply(const std::vector<Event>& events);
  static KeyState StateOf(const Event& event);
  // Whether the row at a later era says what is known of the key already.
  static bool IsUnchanged(const KeyState& state, const KeyState& known);
  void LogList(std::size_t keys) const;
  // One line for all changes of one answer that were left out.
  void LogSkipped(const std::vector<Event>& events) const;
  // What is told from now on is of that era, unless a later one was entered.
  void EnterEra(std::int64_t era);
  // Removals that are told within the time from now on are held back.
  void DelayRemovals();
  void DelayRemoval(Event event);
  void ScheduleRelease();
  void ReleaseRemovals();
  void DidSucceed();
  void DidFail(const base::Error& error, base::MonotonicTime silent_since);
  void Retry(base::Duration delay, void (Follower::*step)());
  void ListFromStart();

  const FollowerSettings settings_;
  const base::Clock clock_;
  const std::shared_ptr<base::Random> random_;
  const base::TaskRunner control_;
  const EventSource source_;
  const DidListAt did_list_;
  const DidChange did_change_;
  const DidReach did_reach_;
  const base::Log log_;

  // What is known of each key.
  std::map<std::string, KeyState> key_states_;
  // Removals that are held back, by key.
  std::map<std::string, Event> held_removals_;
  // The reading of pages that is under way.
  std::map<std::string, Event> listed_items_;
  // Of its first page; absent before that.
  std::optional<Position> list_position_;
  // The latest that was applied.
  std::int64_t era_ = 0;
  // From where the watch goes on.
  std::int64_t cursor_ = 0;
  bool is_complete_ = false;
  bool is_stopped_ = false;
  int failures_ = 0;
  // Since when the store has not answered; zero while it does.
  base::MonotonicTime unavailable_since_;
  base::MonotonicTime delay_removals_until_;
};

}  // namespace medlarspread::store

#endif  // MEDLARSPREAD_STORE_FOLLOWER_H_
