// The stored value of a verdict on a request.

#ifndef MEDLARSPREAD_QUARANTINE_VERDICT_ENTRY_H_
#define MEDLARSPREAD_QUARANTINE_VERDICT_ENTRY_H_

#include <optional>
#include <string>
#include <string_view>

#include "src/blackboard/views.h"

namespace medlarspread::quarantine {

// The prefix of the key, followed by the fingerprint.
constexpr std::string_view kVerdictKeyPrefix = "quarantine/";

// "STATE WALL_MS EVIDENCE"; the evidence is truncated after some hundred bytes.
std::string EncodeVerdict(const blackboard::QuarantineEntry& entry);
// Absent if the value is not a valid verdict. To lift a verdict, an operator
// needs to write only the word "lifted".
std::optional<blackboard::QuarantineEntry> DecodeVerdict(
    const std::string& value);

}  // namespace medlarspread::quarantine

#endif  // MEDLARSPREAD_QUARANTINE_VERDICT_ENTRY_H_
