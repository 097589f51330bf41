// Which upstreams are said to be draining, with the age of that news. It rides
// on heartbeats for a while, so that a daemon that missed the announcement
// hears it too.

#ifndef MEDLARSPREAD_MEMBERSHIP_DRAINING_NEWS_H_
#define MEDLARSPREAD_MEMBERSHIP_DRAINING_NEWS_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

#include "src/base/clock.h"

namespace medlarspread::membership {

class DrainingNews {
 public:
  // News is passed on for `lifetime`, at most `max_passed_on` at a time.
  DrainingNews(base::Duration lifetime, std::size_t max_passed_on);

  // Whether it is new: not known, or later than what is known by so much that
  // it can't be the same word that took another way.
  bool Add(const std::string& upstream,
           base::Duration age,
           base::MonotonicTime now);

  // What to pass on, by name, with ages in milliseconds.
  std::map<std::string, std::int32_t> Current(base::MonotonicTime now);

 private:
  const base::Duration lifetime_;
  const std::size_t max_passed_on_;
  // When each upstream was heard to be draining.
  std::map<std::string, base::MonotonicTime> heard_at_;
};

}  // namespace medlarspread::membership

#endif  // MEDLARSPREAD_MEMBERSHIP_DRAINING_NEWS_H_
