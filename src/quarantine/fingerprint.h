// Identifies equal requests: two requests with the same method, host, target
// and body are the same work for a leaf, whichever caller or retry sends them
// and whatever their request identifiers are.

#ifndef MEDLARSPREAD_QUARANTINE_FINGERPRINT_H_
#define MEDLARSPREAD_QUARANTINE_FINGERPRINT_H_

#include <array>
#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "src/http1/message.h"

namespace medlarspread::quarantine {

// The first 16 bytes of a SHA-256 digest. All daemons compute the same value,
// also across restarts, and a caller cannot construct a request with the
// fingerprint of another one.
struct Fingerprint {
  static constexpr std::size_t kBytes = 16;

  std::array<std::uint8_t, kBytes> bytes{};

  // NOTE: clang-tidy 14 takes the 0 of `a < b`, which is rewritten as
  // `(a <=> b) < 0`, for a null pointer.
  // NOLINTNEXTLINE(modernize-use-nullptr)
  friend auto operator<=>(const Fingerprint&, const Fingerprint&) = default;
};

// Header fields are not included, since they differ between retries.
Fingerprint FingerprintOf(std::string_view host, const http1::Request& request);

// As 32 hexadecimal digits, for logs, keys and operators.
std::string ToText(const Fingerprint& fingerprint);
// Absent if the text does not have the format of ToText().
std::optional<Fingerprint> FingerprintFromText(std::string_view text);

}  // namespace medlarspread::quarantine

#endif  // MEDLARSPREAD_QUARANTINE_FINGERPRINT_H_
