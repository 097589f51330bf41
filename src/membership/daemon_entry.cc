// An entry is a line of fields separated by spaces; a list of followers has one
// such line per daemon.

#include "src/membership/daemon_entry.h"

#include <algorithm>
#include <cctype>
#include <cstddef>
#include <sstream>

namespace medlarspread::membership {

namespace {

// Placeholder for a daemon without a query address.
constexpr std::string_view kNoAddress = "-";
// Values above this are more cores than any VM has and are ignored.
constexpr double kMaxCores = 1'000.0;
// Entries with longer names are rejected.
constexpr std::size_t kMaxNameLength = 150;

// Whether the text has the form "host:port".
bool IsAddress(const std::string& text) {
  const auto colon = text.rfind(':');
  if (colon == std::string::npos || colon == 0 || colon + 1 == text.size()) {
    return false;
  }
  return std::all_of(
      text.begin() + static_cast<std::ptrdiff_t>(colon) + 1, text.end(),
      [](unsigned char character) { return std::isdigit(character) != 0; });
}

}  // namespace

std::string EncodeEntry(const blackboard::Member& member) {
  std::ostringstream entry;
  entry << member.failure_domain << ' ' << member.address << ' '
        << member.region << ' '
        << (member.query_address.empty() ? kNoAddress : member.query_address)
        << ' ' << member.processor_share;
  return entry.str();
}

std::optional<blackboard::Member> DecodeEntry(const std::string& name,
                                              const std::string& value) {
  blackboard::Member member;
  member.name = name;
  std::istringstream words(value);
  words >> member.failure_domain >> member.address >> member.region >>
      member.query_address;
  if (name.empty() || name.size() > kMaxNameLength ||
      !IsAddress(member.address)) {
    return std::nullopt;
  }
  if (double share = 0.0; words >> share && share > 0.0 && share < kMaxCores) {
    member.processor_share = share;
  }
  if (!IsAddress(member.query_address)) {
    member.query_address.clear();
  }
  return member;
}

std::string EncodeNamedEntry(const blackboard::Member& member) {
  return member.name + ' ' + EncodeEntry(member);
}

std::optional<blackboard::Member> DecodeNamedEntry(const std::string& line) {
  const auto blank = line.find(' ');
  if (blank == std::string::npos) {
    return std::nullopt;
  }
  return DecodeEntry(line.substr(0, blank), line.substr(blank + 1));
}

std::string EncodeFollowers(const std::vector<blackboard::Member>& members) {
  std::string lines;
  for (const blackboard::Member& member : members) {
    lines += EncodeNamedEntry(member) + '\n';
  }
  return lines;
}

std::vector<blackboard::Member> DecodeFollowers(const std::string& value) {
  std::vector<blackboard::Member> members;
  std::istringstream lines(value);
  for (std::string line; std::getline(lines, line);) {
    if (auto member = DecodeNamedEntry(line)) {
      members.push_back(std::move(*member));
    }
  }
  return members;
}

}  // namespace medlarspread::membership
