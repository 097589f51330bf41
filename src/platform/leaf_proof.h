// The proofs of leaves as header values.

#ifndef MEDLARSPREAD_PLATFORM_LEAF_PROOF_H_
#define MEDLARSPREAD_PLATFORM_LEAF_PROOF_H_

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace medlarspread::platform {

// Whether the text can be the proof of a leaf: printable ASCII without spaces,
// and without commas, which separate the proofs of a list.
bool IsLeafProof(std::string_view text);

// The proofs of a list, which may be empty. Absent if an entry is no proof or
// appears twice.
std::optional<std::vector<std::string>> ParseLeafProofs(std::string_view text);

}  // namespace medlarspread::platform

#endif  // MEDLARSPREAD_PLATFORM_LEAF_PROOF_H_
