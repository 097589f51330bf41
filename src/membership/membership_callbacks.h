// What membership tells the other controllers beyond the view.

#ifndef MEDLARSPREAD_MEMBERSHIP_MEMBERSHIP_CALLBACKS_H_
#define MEDLARSPREAD_MEMBERSHIP_MEMBERSHIP_CALLBACKS_H_

#include <cstdint>
#include <functional>
#include <string>

#include "src/base/clock.h"

namespace medlarspread::membership {

// All run on the control sequence and may be empty.
struct MembershipCallbacks {
  // A peer has a revision of the targets in force that is above this daemon's,
  // or the same with another digest. Repeated with each heartbeat that says so.
  std::function<
      void(const std::string& peer, std::int64_t revision, std::int64_t digest)>
      did_see_targets;
  // A peer has heard, `age` ago, that an upstream is draining. Once per news.
  std::function<void(const std::string& upstream, base::Duration age)>
      did_hear_draining;
  // A newer process runs under this daemon's name. Membership has ended here;
  // this daemon should stop.
  std::function<void(std::int64_t newer_incarnation)> did_step_aside;
};

}  // namespace medlarspread::membership

#endif  // MEDLARSPREAD_MEMBERSHIP_MEMBERSHIP_CALLBACKS_H_
