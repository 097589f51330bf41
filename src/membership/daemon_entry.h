// Encoding of the entries that daemons write into the store about themselves
// and about their followers.

#ifndef MEDLARSPREAD_MEMBERSHIP_DAEMON_ENTRY_H_
#define MEDLARSPREAD_MEMBERSHIP_DAEMON_ENTRY_H_

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "src/blackboard/views.h"

namespace medlarspread::membership {

// Key prefix of a daemon's entry; the daemon's name follows.
constexpr std::string_view kDaemonKeyPrefix = "daemons/";
// Key prefix of a reader's list of followers; the reader's name follows.
constexpr std::string_view kFollowersKeyPrefix = "followers/";

// The value of a daemon's entry. Its name is part of the key.
std::string EncodeEntry(const blackboard::Member& member);
// Fields that are missing, as in an entry written by another version, keep
// their defaults. Returns nothing if the value is not a valid entry.
std::optional<blackboard::Member> DecodeEntry(const std::string& name,
                                              const std::string& value);

// An entry with the daemon's name in front, on one line: how a follower
// identifies itself to its reader.
std::string EncodeNamedEntry(const blackboard::Member& member);
std::optional<blackboard::Member> DecodeNamedEntry(const std::string& line);

// The followers of one reader, one line each.
std::string EncodeFollowers(const std::vector<blackboard::Member>& members);
// Skips lines that can't be parsed.
std::vector<blackboard::Member> DecodeFollowers(const std::string& value);

}  // namespace medlarspread::membership

#endif  // MEDLARSPREAD_MEMBERSHIP_DAEMON_ENTRY_H_
