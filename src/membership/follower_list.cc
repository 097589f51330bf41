// Implementation of membership::FollowerList.

#include "src/membership/follower_list.h"

namespace medlarspread::membership {

namespace {

// A failure domain has about a hundred daemons. The limit keeps a peer that
// sends made-up names from filling the key in the store.
constexpr std::size_t kMaxFollowers = 2'000;

}  // namespace

void FollowerList::DidHear(const blackboard::Member& member,
                           base::MonotonicTime now) {
  if (rows_.size() < kMaxFollowers || rows_.contains(member.name)) {
    rows_[member.name] = {member, now};
  }
}

void FollowerList::DidReadStored(const std::vector<blackboard::Member>& members,
                                 base::MonotonicTime now) {
  for (const blackboard::Member& member : members) {
    if (!rows_.contains(member.name)) {
      DidHear(member, now);
    }
  }
}

std::vector<blackboard::Member> FollowerList::Current(base::MonotonicTime now) {
  std::erase_if(rows_, [&](const auto& row) {
    return now - row.second.heard > retention_;
  });
  std::vector<blackboard::Member> members;
  members.reserve(rows_.size());
  for (const auto& [name, row] : rows_) {
    members.push_back(row.member);
  }
  return members;
}

}  // namespace medlarspread::membership
