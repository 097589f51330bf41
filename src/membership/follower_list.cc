// One row for each follower.

#include "src/membership/follower_list.h"

namespace medlarspread::membership {

namespace {

// A failure domain has some hundred daemons; a peer that makes names up must
// not fill the store's key.
constexpr std::size_t kMostFollowers = 2'000;

}  // namespace

void FollowerList::DidHear(const blackboard::Member& member,
                           base::MonotonicTime now) {
  if (rows_.size() < kMostFollowers || rows_.contains(member.name)) {
    rows_[member.name] = {member, now};
  }
}

void FollowerList::DidReadOwn(const std::vector<blackboard::Member>& members,
                              base::MonotonicTime now) {
  for (const blackboard::Member& member : members) {
    if (!rows_.contains(member.name)) {
      DidHear(member, now);
    }
  }
}

std::vector<blackboard::Member> FollowerList::Current(base::MonotonicTime now) {
  std::erase_if(rows_, [&](const auto& row) {
    return now - row.second.heard > kept_for_;
  });
  std::vector<blackboard::Member> members;
  members.reserve(rows_.size());
  for (const auto& [name, row] : rows_) {
    members.push_back(row.member);
  }
  return members;
}

}  // namespace medlarspread::membership
