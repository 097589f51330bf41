// Parses the proofs of leaves.

#include "src/platform/leaf_proof.h"

#include <algorithm>
#include <set>

namespace medlarspread::platform {

namespace {

std::string_view Trim(std::string_view text) {
  constexpr std::string_view kWhitespace = " \t";
  const auto begin = text.find_first_not_of(kWhitespace);
  if (begin == std::string_view::npos) {
    return {};
  }
  return text.substr(begin, text.find_last_not_of(kWhitespace) + 1 - begin);
}

}  // namespace

bool IsLeafProof(std::string_view text) {
  constexpr char kFirst = '!';
  constexpr char kLast = '~';
  return !text.empty() &&
         std::all_of(text.begin(), text.end(), [](char character) {
           return character >= kFirst && character <= kLast && character != ',';
         });
}

std::optional<std::vector<std::string>> ParseLeafProofs(std::string_view text) {
  std::vector<std::string> proofs;
  std::set<std::string_view> known;
  if (Trim(text).empty()) {
    return proofs;
  }
  for (std::size_t begin = 0; begin <= text.size();) {
    const std::size_t end = std::min(text.find(',', begin), text.size());
    const std::string_view proof = Trim(text.substr(begin, end - begin));
    if (!IsLeafProof(proof) || !known.insert(proof).second) {
      return std::nullopt;
    }
    proofs.emplace_back(proof);
    begin = end + 1;
  }
  return proofs;
}

}  // namespace medlarspread::platform
