// From which revision of the store on a daemon may ask another place for
// changes and miss nothing.
//
// What the store itself told is whole up to its revision. A peer may hold a
// removal back for some seconds after an outage (store::Follower), so that its
// revision is ahead of what it has told: it counts once that time is over.
//
// Pure bookkeeping; calls come from one sequence.

#ifndef MEDLARSPREAD_RELAY_SAFE_REVISION_H_
#define MEDLARSPREAD_RELAY_SAFE_REVISION_H_

#include <algorithm>
#include <cstdint>
#include <deque>
#include <optional>
#include <utility>

#include "src/base/clock.h"

namespace medlarspread::relay {

class SafeRevision {
 public:
  void DidHearFromStore(std::int64_t revision) { Raise(revision); }
  void DidHearFromPeer(std::int64_t revision, base::MonotonicTime now) {
    heard_.emplace_back(now, revision);
    Settle(now);
  }

  // Absent if nothing is known that well yet.
  std::optional<std::int64_t> At(base::MonotonicTime now) {
    Settle(now);
    return revision_;
  }

 private:
  // Twice as long as a follower holds removals back.
  static constexpr base::Duration kSettled = base::Milliseconds(5'000);

  void Raise(std::int64_t revision) {
    revision_ = std::max(revision_.value_or(revision), revision);
  }

  void Settle(base::MonotonicTime now) {
    while (!heard_.empty() && now - heard_.front().first >= kSettled) {
      Raise(heard_.front().second);
      heard_.pop_front();
    }
  }

  std::optional<std::int64_t> revision_;
  // What peers told, oldest first; none is older than kSettled. News come once
  // or twice a second.
  std::deque<std::pair<base::MonotonicTime, std::int64_t>> heard_;
};

}  // namespace medlarspread::relay

#endif  // MEDLARSPREAD_RELAY_SAFE_REVISION_H_
