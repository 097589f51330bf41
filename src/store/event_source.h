// The operations that the controllers need of a store with change notification:
// listing all keys under a prefix, watching for changes after a revision, and
// writing keys that live as long as a lease.
//
// The platform's client provides them on a daemon, and a fake in tests. Every
// call ends with one callback on the control thread.

#ifndef MEDLARSPREAD_STORE_EVENT_SOURCE_H_
#define MEDLARSPREAD_STORE_EVENT_SOURCE_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "src/base/clock.h"
#include "src/base/result.h"
#include "src/store/position.h"

namespace medlarspread::store {

// How long a call may take beyond the time that it asks the store to wait. The
// store normally answers in 4 ms, and takes 60 times as long on a slow day.
constexpr base::Duration kCallTimeout = base::Milliseconds(1'000);

// A write or removal of a key.
struct Event {
  std::string key;
  // Absent if the key was removed.
  std::optional<std::string> value;
  // The revision of this change; the store numbers the changes of all keys with
  // one counter.
  std::int64_t revision = 0;
  // The era of the response that reported it; see Position.
  std::int64_t era = 0;

  Position position() const { return {era, revision}; }

  friend bool operator==(const Event&, const Event&) = default;
};

// One page of the keys under a prefix. The pages of one list are not a
// snapshot: a later page may be newer.
struct Page {
  std::vector<Event> items;
  bool is_last = true;
  // The store's revision when the page was read. Says nothing of a stale page,
  // whose items may be older.
  std::int64_t revision = 0;
  // The cursor for watching the changes after the page.
  std::int64_t cursor = 0;
  // The era in which the page was read.
  std::int64_t era = 0;
  // The page is of a stale read. Each page of such a list may be of another
  // age, so that the list as a whole has no position in the store's history:
  // any key that it contains or lacks may have changed.
  bool is_stale = false;

  Position position() const { return {era, revision}; }
};

// All changes under a prefix since a cursor.
struct Changes {
  std::vector<Event> events;
  // The cursor for the next watch.
  std::int64_t cursor = 0;
  // The position up to which the responder knew the store.
  Position position;
  // Set if these changes complete a stale list: they contain all removals after
  // this position.
  std::optional<Position> completes_list_since = {};
};

struct Lease {
  std::int64_t id = 0;
  base::Duration time_to_live{};
};

struct EventSource {
  // Lists the keys after `after`, in order. Without an answer: kUnreachable if
  // the call had a connection of its own, kConnectionLost and kTimeout if only
  // its connection, which has carried other calls, is known to have failed.
  // kUnavailable and kOverloaded: the store rejected the call; kExpired: the
  // store was restored since the first page was read. The same errors, but for
  // the last one, come from all other calls.
  std::function<void(std::string prefix,
                     std::string after,
                     std::function<void(base::Result<Page>)>)>
      list;
  // The same as a stale read: the result may be seconds old, at a tenth of the
  // cost. Empty for sources that do not offer it.
  std::function<void(std::string prefix,
                     std::string after,
                     std::function<void(base::Result<Page>)>)>
      list_stale;
  // Calls back at the first change after `cursor`, or without changes after
  // `wait`. kExpired: the changes since then are no longer available or may be
  // incomplete; list again.
  std::function<void(std::string prefix,
                     std::int64_t cursor,
                     base::Duration wait,
                     std::function<void(base::Result<Changes>)>)>
      watch;
  std::function<void(base::Duration time_to_live,
                     std::function<void(base::Result<Lease>)>)>
      open_lease;
  // Renews a lease. kNotFound: the lease has ended.
  std::function<void(std::int64_t lease, std::function<void(base::Status)>)>
      keep_lease;
  // Writes a key that lives as long as the lease, overwriting any earlier
  // value.
  std::function<void(std::string key,
                     std::string value,
                     std::int64_t lease,
                     std::function<void(base::Status)>)>
      put;
};

}  // namespace medlarspread::store

#endif  // MEDLARSPREAD_STORE_EVENT_SOURCE_H_
