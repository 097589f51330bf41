// Encodes verdicts as words separated by spaces.

#include "src/quarantine/verdict_entry.h"

#include <cstdint>
#include <sstream>

namespace medlarspread::quarantine {

namespace {

// Enough for about eight leaves with the times at which they ended.
constexpr std::size_t kMaxEvidenceBytes = 300;

}  // namespace

std::string EncodeVerdict(const blackboard::QuarantineEntry& entry) {
  return std::string(blackboard::kQuarantineStateNames.NameOf(entry.state)) +
         ' ' + std::to_string(entry.wall_ms) + ' ' +
         entry.evidence.substr(0, kMaxEvidenceBytes);
}

std::optional<blackboard::QuarantineEntry> DecodeVerdict(
    const std::string& value) {
  std::istringstream words(value);
  std::string name;
  words >> name;
  const auto state = blackboard::kQuarantineStateNames.ValueOf(name);
  if (!state) {
    return std::nullopt;
  }
  blackboard::QuarantineEntry entry;
  entry.state = *state;
  if (std::int64_t wall_ms = 0; words >> wall_ms) {
    entry.wall_ms = wall_ms;
    words.ignore(1);
    std::getline(words, entry.evidence);
  }
  return entry;
}

}  // namespace medlarspread::quarantine
