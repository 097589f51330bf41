// What a stale read of the store has returned: the hash and revision of each
// item.
//
// The pages of a stale read may differ in age. So the revision of the newest
// item is no position up to which all changes are known: an older page may lack
// an earlier one. A daemon that requests the changes since that revision from a
// peer has to compare the result with the peer's items.
//
// Bookkeeping only; not thread-safe.

#ifndef MEDLARSPREAD_RELAY_STALE_COPY_H_
#define MEDLARSPREAD_RELAY_STALE_COPY_H_

#include <algorithm>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "src/store/event_source.h"
#include "src/store/item_hash.h"
#include "src/store/position.h"

namespace medlarspread::relay {

class StaleCopy {
 public:
  void Clear() {
    items_.clear();
    latest_ = {};
  }

  // Adds the items of a page, or the changes that a peer has sent.
  void Apply(const std::vector<store::Event>& events) {
    for (const store::Event& event : events) {
      latest_ = std::max(latest_, event.position());
      if (event.value) {
        items_[event.key] = {event.position(),
                             store::HashItem(event.key, *event.value)};
      } else {
        items_.erase(event.key);
      }
    }
  }

  // The position of the newest item.
  const store::Position& latest() const { return latest_; }

  // Whether a peer that knows all changes up to `position` has the same items.
  // Newer items are left out: the peer will apply them later.
  bool Matches(std::uint64_t digest, const store::Position& position) const {
    std::uint64_t own = 0;
    for (const auto& [key, item] : items_) {
      own ^= item.position <= position ? item.hash : 0;
    }
    return own == digest;
  }

 private:
  struct Item {
    store::Position position;
    std::uint64_t hash = 0;
  };

  std::map<std::string, Item> items_;
  store::Position latest_;
};

}  // namespace medlarspread::relay

#endif  // MEDLARSPREAD_RELAY_STALE_COPY_H_
