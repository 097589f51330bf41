// From which position of the store on a daemon may ask another place for
// changes and miss nothing.
//
// What the store itself told is whole up to its position. A peer may hold a
// removal back for some seconds after an outage (store::Follower), so that its
// revision is ahead of what it has told: it counts once that time is over.
//
// Pure bookkeeping; calls come from one sequence.

#ifndef MEDLARSPREAD_RELAY_SAFE_POSITION_H_
#define MEDLARSPREAD_RELAY_SAFE_POSITION_H_

#include <algorithm>
#include <deque>
#include <optional>
#include <utility>

#include "src/base/clock.h"
#include "src/store/position.h"

namespace medlarspread::relay {

class SafePosition {
 public:
  void DidHearFromStore(const store::Position& position) { Raise(position); }
  void DidHearFromPeer(const store::Position& position,
                       base::MonotonicTime now) {
    heard_.emplace_back(now, position);
    Settle(now);
  }

  // Absent if nothing is known that well yet.
  std::optional<store::Position> At(base::MonotonicTime now) {
    Settle(now);
    return position_;
  }

 private:
  // Twice as long as a follower holds removals back.
  static constexpr base::Duration kSettled = base::Milliseconds(5'000);

  void Raise(const store::Position& position) {
    position_ = std::max(position_.value_or(position), position);
  }

  void Settle(base::MonotonicTime now) {
    while (!heard_.empty() && now - heard_.front().first >= kSettled) {
      Raise(heard_.front().second);
      heard_.pop_front();
    }
  }

  std::optional<store::Position> position_;
  // What peers told, oldest first; none is older than kSettled. News come once
  // or twice a second.
  std::deque<std::pair<base::MonotonicTime, store::Position>> heard_;
};

}  // namespace medlarspread::relay

#endif  // MEDLARSPREAD_RELAY_SAFE_POSITION_H_
