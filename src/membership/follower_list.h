// The daemons that receive their store updates from this one. This daemon
// writes them into the store under a single key, so that they need no entries
// and leases of their own: at the start of a fleet of 195 daemons, 177 then
// cause no store calls, instead of two each.
//
// A silent follower counts for as long as an entry with its own lease would.
// Followers that an earlier start of this daemon left in the store count as
// heard from when they are read: after a power loss of the whole fleet, too few
// known daemons would make each one's share of the common budgets too large.
//
// All calls must come from one sequence.

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
  // `retention` is how long a silent follower still counts.
  explicit FollowerList(base::Duration retention) : retention_(retention) {}

  void DidHear(const blackboard::Member& member, base::MonotonicTime now);
  // Takes in the list that an earlier start of this daemon left in the store.
  void DidReadStored(const std::vector<blackboard::Member>& members,
                     base::MonotonicTime now);
  // Drops followers that have been silent for too long and returns the others.
  std::vector<blackboard::Member> Current(base::MonotonicTime now);

 private:
  struct Row {
    blackboard::Member member;
    base::MonotonicTime heard;
  };

  const base::Duration retention_;
  // By name.
  std::map<std::string, Row> rows_;
};

}  // namespace medlarspread::membership

#endif  // MEDLARSPREAD_MEMBERSHIP_FOLLOWER_LIST_H_
