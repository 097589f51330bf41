// Tracks the store position from which a daemon may resume at another source
// without missing changes.
//
// Updates from the store itself are complete up to their position. A peer may
// delay removals for some seconds after an outage (store::Follower), so its
// revision can be ahead of what it has sent. A position received from a peer
// therefore counts only after that delay.
//
// Bookkeeping only; not thread-safe.

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

  // Absent until a position is known to be complete.
  std::optional<store::Position> At(base::MonotonicTime now) {
    ConfirmPeerPositions(now);
    return position_;
  }

 private:
  // Twice the time for which a follower delays removals.
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
  // The positions that peers have sent, oldest first; none is older than
  // kMaxRemovalDelay. Updates come once or twice a second.
  std::deque<std::pair<base::MonotonicTime, store::Position>> unconfirmed_;
};

}  // namespace medlarspread::relay

#endif  // MEDLARSPREAD_RELAY_RESUME_POSITION_H_
