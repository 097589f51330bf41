// From which position of the store on a daemon may ask another place for
// changes and miss nothing.
//
// What the store itself told is whole up to its position. A peer may hold a
// removal back for some seconds after an outage (store::Follower), so that its
// revision is ahead of what it has told: it counts once that time is over.
//
// Pure bookkeeping; calls come from one sequence.

#ifndef MEDLARSPREAD_RELAY_RESUME_POSITION_H_
#define MEDLARSPREAD_RELAY_RESUME_POSITION_H_

#include <algorithm>
#include <deque>
#include <optional>
#include <utility>

#include "src/base/clock.h"
#include "src/store/position.h"

namespace medlarspread::relay {

class ResumePosition {
 public:
  void DidReadStore(const store::Position& position) { AdvanceTo(position); }
  void DidReadPeer(const store::Position& position, base::MonotonicTime now) {
    unconfirmed_.emplace_back(now, position);
    ConfirmPeerPositions(now);
  }

  // Absent if nothing is known that well yet.
  std::optional<store::Position> At(base::MonotonicTime now) {
    ConfirmPeerPositions(now);
    return position_;
  }

 private:
  // Twice as long as a follower holds removals back.
  static constexpr base::Duration kMaxRemovalDelay = base::Milliseconds(5'000);

  void AdvanceTo(const store::Position& position) {
    position_ = std::max(position_.value_or(position), position);
  }

  void ConfirmPeerPositions(base::MonotonicTime now) {
    while (!unconfirmed_.empty() &&
           now - unconfirmed_.front().first >= kMaxRemovalDelay) {
      AdvanceTo(unconfirmed_.front().second);
      unconfirmed_.pop_front();
    }
  }

  std::optional<store::Position> position_;
  // What peers told, oldest first; none is older than kMaxRemovalDelay. News
  // come once or twice a second.
  std::deque<std::pair<base::MonotonicTime, store::Position>> unconfirmed_;
};

}  // namespace medlarspread::relay

#endif  // MEDLARSPREAD_RELAY_RESUME_POSITION_H_
