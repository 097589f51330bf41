// The daemons that take their news of the store from this one. It writes them
// into the store in one key, so that they need no entries and leases of their
// own: 177 of 195 daemons then cost the store nothing when they start, where
// each cost two calls.
//
// A follower counts for as long after it was last heard as an entry with a
// lease of its own would. What the store still holds of an earlier start of
// this daemon counts as heard then: a fleet that lost power must not count too
// few, since budgets are shared out among those that are known.
//
// Pure bookkeeping; calls come from one sequence.

#ifndef MEDLARSPREAD_MEMBERSHIP_FOLLOWER_LIST_H_
#define MEDLARSPREAD_MEMBERSHIP_FOLLOWER_LIST_H_

#include <map>
#include <string>
#include <vector>

#include "src/base/clock.h"
#include "src/blackboard/views.h"

namespace medlarspread::membership {

class FollowerList {
 public:
  // `kept_for`: how long a silent follower still counts.
  explicit FollowerList(base::Duration kept_for) : kept_for_(kept_for) {}

  void DidHear(const blackboard::Member& member, base::MonotonicTime now);
  // The store's list from an earlier start of this daemon.
  void DidReadOwn(const std::vector<blackboard::Member>& members,
                  base::MonotonicTime now);
  // Drops those that have been silent for too long; returns the others.
  std::vector<blackboard::Member> Current(base::MonotonicTime now);

 private:
  struct Row {
    blackboard::Member member;
    base::MonotonicTime heard;
  };

  const base::Duration kept_for_;
  // By name.
  std::map<std::string, Row> rows_;
};

}  // namespace medlarspread::membership

#endif  // MEDLARSPREAD_MEMBERSHIP_FOLLOWER_LIST_H_
