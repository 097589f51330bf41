// Events that membership reports to other controllers, besides the membership
// view.

#ifndef MEDLARSPREAD_MEMBERSHIP_MEMBERSHIP_CALLBACKS_H_
#define MEDLARSPREAD_MEMBERSHIP_MEMBERSHIP_CALLBACKS_H_

#include <cstdint>
#include <functional>
#include <string>

#include "src/base/clock.h"

namespace medlarspread::membership {

// All run on the control sequence and may be empty.
struct MembershipCallbacks {
  // A peer's active targets have a higher revision than this daemon's, or the
  // same revision with another digest. Repeated with each heartbeat that says
  // so.
  std::function<
      void(const std::string& peer, std::int64_t revision, std::int64_t digest)>
      did_see_targets;
  // A peer learned, `age` ago, that an upstream is draining. Called once per
  // notice.
  std::function<void(const std::string& upstream, base::Duration age)>
      did_hear_draining;
  // A newer process runs under this daemon's name. Membership has ended here
  // and this daemon should stop.
  std::function<void(std::int64_t newer_incarnation)> did_get_replaced;
};

}  // namespace medlarspread::membership

#endif  // MEDLARSPREAD_MEMBERSHIP_MEMBERSHIP_CALLBACKS_H_
