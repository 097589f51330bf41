// Parses and writes the value of one key of claims.

#include "src/claims/recorded_claims.h"

#include <algorithm>
#include <cctype>

#include "src/claims/claim_protocol.h"

namespace medlarspread::claims {

namespace {

constexpr std::size_t kMaxNonceLength = 64;

bool IsNonceCharacter(unsigned char character) {
  return std::isalnum(character) != 0 || character == '-' || character == '_';
}

base::Error Malformed(const std::string& line) {
  return base::MakeError(base::ErrorCode::kMalformed, base::Step::kClaim, "",
                         "not a claim: " + line.substr(0, kMaxNonceLength));
}

}  // namespace

bool IsNonce(const std::string& nonce) {
  return !nonce.empty() && nonce.size() <= kMaxNonceLength &&
         std::all_of(nonce.begin(), nonce.end(), IsNonceCharacter);
}

std::string ClaimLine(const std::string& request_id, const std::string& nonce) {
  return request_id + " " + nonce + "\n";
}

base::Result<RecordedClaims> RecordedClaims::Parse(const std::string& text) {
  RecordedClaims claims;
  std::size_t start = 0;
  while (start < text.size()) {
    const std::size_t end = text.find('\n', start);
    if (end == std::string::npos) {
      return Malformed(text.substr(start));
    }
    const std::string line = text.substr(start, end - start);
    const std::size_t space = line.find(' ');
    if (space == std::string::npos ||
        !MadeAtMilliseconds(line.substr(0, space)) ||
        !IsNonce(line.substr(space + 1))) {
      return Malformed(line);
    }
    claims.Add(line.substr(0, space), line.substr(space + 1));
    start = end + 1;
  }
  return claims;
}

const std::string* RecordedClaims::Find(const std::string& request_id) const {
  const auto found = nonces_.find(request_id);
  return found == nonces_.end() ? nullptr : &found->second;
}

void RecordedClaims::Add(const std::string& request_id,
                         const std::string& nonce) {
  if (nonces_.emplace(request_id, nonce).second) {
    text_ += ClaimLine(request_id, nonce);
  }
}

}  // namespace medlarspread::claims
