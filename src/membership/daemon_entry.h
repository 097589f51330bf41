// What daemons write of themselves and of their followers into the store.

#ifndef MEDLARSPREAD_MEMBERSHIP_DAEMON_ENTRY_H_
#define MEDLARSPREAD_MEMBERSHIP_DAEMON_ENTRY_H_

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "src/blackboard/views.h"

namespace medlarspread::membership {

// Before the name of a daemon in the key of its entry.
constexpr std::string_view kDaemonKeyPrefix = "daemons/";
// Before the name of a reader in the key of the list of its followers.
constexpr std::string_view kFollowersKeyPrefix = "followers/";

// The value of a daemon's own entry; its name is in the key.
std::string EncodeEntry(const blackboard::Member& member);
// Words that are missing, as in the entry of another version, leave what the
// daemon is without them. Absent if no daemon can have written it.
std::optional<blackboard::Member> DecodeEntry(const std::string& name,
                                              const std::string& value);

// A daemon with its name, on one line: what a follower says of itself.
std::string EncodeNamedEntry(const blackboard::Member& member);
std::optional<blackboard::Member> DecodeNamedEntry(const std::string& line);

// The followers of one reader, a line each.
std::string EncodeFollowers(const std::vector<blackboard::Member>& members);
// Lines that can't be read are left out.
std::vector<blackboard::Member> DecodeFollowers(const std::string& value);

}  // namespace medlarspread::membership

#endif  // MEDLARSPREAD_MEMBERSHIP_DAEMON_ENTRY_H_
