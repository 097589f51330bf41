// Computes SHA-256 over the parts of a request, each preceded by its length.

#include "src/quarantine/fingerprint.h"

#include <algorithm>
#include <cstring>

#include <openssl/sha.h>

namespace medlarspread::quarantine {

namespace {

constexpr std::string_view kDigits = "0123456789abcdef";
constexpr unsigned kDigitBits = 4;
constexpr unsigned kDigitMask = 0xf;

// The length prefix distinguishes ("ab", "c") from ("a", "bc").
void Add(SHA256_CTX& hash, std::string_view part) {
  const std::uint64_t length = part.size();
  SHA256_Update(&hash, &length, sizeof(length));
  SHA256_Update(&hash, part.data(), part.size());
}

std::optional<std::uint8_t> DigitOf(char character) {
  const auto place = kDigits.find(character);
  if (place == std::string_view::npos) {
    return std::nullopt;
  }
  return static_cast<std::uint8_t>(place);
}

}  // namespace

Fingerprint FingerprintOf(std::string_view host,
                          const http1::Request& request) {
  const auto method = request.method_string();
  const auto target = request.target();
  SHA256_CTX hash;
  SHA256_Init(&hash);
  Add(hash, {method.data(), method.size()});
  Add(hash, host);
  Add(hash, {target.data(), target.size()});
  Add(hash, request.body());
  std::array<std::uint8_t, SHA256_DIGEST_LENGTH> digest{};
  SHA256_Final(digest.data(), &hash);
  Fingerprint fingerprint;
  std::copy_n(digest.begin(), Fingerprint::kBytes, fingerprint.bytes.begin());
  return fingerprint;
}

std::string ToText(const Fingerprint& fingerprint) {
  std::string text;
  text.reserve(2 * Fingerprint::kBytes);
  for (const unsigned byte : fingerprint.bytes) {
    text += kDigits[byte >> kDigitBits];
    text += kDigits[byte & kDigitMask];
  }
  return text;
}

std::optional<Fingerprint> FingerprintFromText(std::string_view text) {
  if (text.size() != 2 * Fingerprint::kBytes) {
    return std::nullopt;
  }
  Fingerprint fingerprint;
  for (std::size_t index = 0; index < Fingerprint::kBytes; ++index) {
    const auto high = DigitOf(text[2 * index]);
    const auto low = DigitOf(text[2 * index + 1]);
    if (!high || !low) {
      return std::nullopt;
    }
    fingerprint.bytes[index] =
        static_cast<std::uint8_t>(*high << kDigitBits | *low);
  }
  return fingerprint;
}

}  // namespace medlarspread::quarantine
