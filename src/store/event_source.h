// What the controllers need of a store that tells of its changes: reading
// everything under a prefix, waiting for changes after a revision, and keys
// that live as long as a lease.
//
// On a daemon the platform's client fills it in; in tests a fake does. Every
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

// A key as it was written or removed.
struct Event {
  std::string key;
  // Absent if the key was removed.
  std::optional<std::string> value;
  // Of this change; the store counts all changes with one counter.
  std::int64_t revision = 0;
  // The era of the answer that told of it; see Position.
  std::int64_t era = 0;

  Position position() const { return {era, revision}; }

  friend bool operator==(const Event&, const Event&) = default;
};

// One page of the keys under a prefix. The pages of one reading are not a
// snapshot: a later page may be newer.
struct Page {
  std::vector<Event> items;
  bool is_last = true;
  // The store's revision when the page was read.
  std::int64_t revision = 0;
  // From where to watch for what changes after the page.
  std::int64_t cursor = 0;
  // In which the page was read.
  std::int64_t era = 0;

  Position position() const { return {era, revision}; }
};

// All changes under a prefix since a cursor.
struct Changes {
  std::vector<Event> events;
  // From where to watch on.
  std::int64_t cursor = 0;
  // Up to where whoever answered knew the store.
  Position position;
};

struct Lease {
  std::int64_t id = 0;
  base::Duration time_to_live{};
};

struct EventSource {
  // The keys after `after`, in order. kUnreachable, kConnectionLost and
  // kTimeout: the store did not answer; kUnavailable and kOverloaded: it
  // turned the call away; kExpired: the store was restored since the first page
  // was read.
  std::function<void(std::string prefix,
                     std::string after,
                     std::function<void(base::Result<Page>)>)>
      list;
  // The same, but what it gives may be seconds old, and it costs a tenth. May
  // be empty: not every source has it.
  std::function<void(std::string prefix,
                     std::string after,
                     std::function<void(base::Result<Page>)>)>
      list_stale;
  // Calls back at the first change after `cursor`, or with none after `wait`.
  // kExpired: the changes since then are no longer known, or not known to be
  // all of them; list again.
  std::function<void(std::string prefix,
                     std::int64_t cursor,
                     base::Duration wait,
                     std::function<void(base::Result<Changes>)>)>
      watch;
  std::function<void(base::Duration time_to_live,
                     std::function<void(base::Result<Lease>)>)>
      open_lease;
  // kNotFound: the lease has ended.
  std::function<void(std::int64_t lease, std::function<void(base::Status)>)>
      keep_lease;
  // Writes a key that lives as long as the lease, whatever it held before.
  std::function<void(std::string key,
                     std::string value,
                     std::int64_t lease,
                     std::function<void(base::Status)>)>
      put;
};

}  // namespace medlarspread::store

#endif  // MEDLARSPREAD_STORE_EVENT_SOURCE_H_
