// Recent notices that an upstream is draining, with their age. They are
// piggybacked on heartbeats for a limited time, so that daemons that missed the
// first message receive them too.

#ifndef MEDLARSPREAD_MEMBERSHIP_DRAINING_NOTICES_H_
#define MEDLARSPREAD_MEMBERSHIP_DRAINING_NOTICES_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

#include "src/base/clock.h"

namespace medlarspread::membership {

class DrainingNotices {
 public:
  // Notices are passed on for `lifetime`, at most `max_passed_on` at a time.
  DrainingNotices(base::Duration lifetime, std::size_t max_passed_on);

  // Returns whether the notice is new: the upstream has none, or its last one
  // is so much older that this can't be a copy that arrived by another path.
  bool Add(const std::string& upstream,
           base::Duration age,
           base::MonotonicTime now);

  // The notices to pass on: age in milliseconds by upstream name.
  std::map<std::string, std::int32_t> Current(base::MonotonicTime now);

 private:
  const base::Duration lifetime_;
  const std::size_t max_passed_on_;
  // When each upstream started to drain, as far as known.
  std::map<std::string, base::MonotonicTime> heard_at_;
};

}  // namespace medlarspread::membership

#endif  // MEDLARSPREAD_MEMBERSHIP_DRAINING_NOTICES_H_
