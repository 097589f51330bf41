// The claims of one key in the format of its value: one line per claim with the
// identifier, a space and the nonce. Lines are added but never removed.

#ifndef MEDLARSPREAD_CLAIMS_RECORDED_CLAIMS_H_
#define MEDLARSPREAD_CLAIMS_RECORDED_CLAIMS_H_

#include <cstddef>
#include <string>
#include <unordered_map>

#include "src/base/result.h"

namespace medlarspread::claims {

// Whether the nonce is valid: 1 to 64 letters, digits, '-' or '_'.
bool IsNonce(const std::string& nonce);

// One line of a value.
std::string ClaimLine(const std::string& request_id, const std::string& nonce);

class RecordedClaims {
 public:
  // Errors: kMalformed if the text is not a list of such lines.
  static base::Result<RecordedClaims> Parse(const std::string& text);

  // The nonce recorded for the identifier, or null.
  const std::string* Find(const std::string& request_id) const;

  // Does nothing if the identifier is recorded already.
  void Add(const std::string& request_id, const std::string& nonce);

  const std::unordered_map<std::string, std::string>& nonces() const {
    return nonces_;
  }
  const std::string& text() const { return text_; }

 private:
  // By identifier. Invariant: `text_` has exactly one line for each.
  std::unordered_map<std::string, std::string> nonces_;
  std::string text_;
};

}  // namespace medlarspread::claims

#endif  // MEDLARSPREAD_CLAIMS_RECORDED_CLAIMS_H_
