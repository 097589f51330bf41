// JSON string escaping with UTF-8 validation, and number formatting.

#include "src/base/json_string.h"

#include <array>
#include <cassert>
#include <charconv>
#include <cmath>
#include <cstddef>
#include <cstdint>

namespace medlarspread::base {

namespace {

constexpr unsigned char kFirstPrintable = 0x20;
constexpr unsigned char kFirstNonAscii = 0x80;
constexpr std::uint32_t kLastCodePoint = 0x10FFFF;
constexpr std::uint32_t kFirstSurrogate = 0xD800;
constexpr std::uint32_t kLastSurrogate = 0xDFFF;

// The length of the UTF-8 sequence that starts with this byte; 0 if the byte
// can't start a sequence.
std::size_t SequenceLength(unsigned char first) {
  if (first >= 0xC2 && first <= 0xDF) {
    return 2;
  }
  if ((first & 0xF0) == 0xE0) {
    return 3;
  }
  if (first >= 0xF0 && first <= 0xF4) {
    return 4;
  }
  return 0;
}

// Whether the sequence is the shortest encoding of a valid code point.
bool IsValidSequence(std::string_view bytes) {
  constexpr std::uint32_t kSmallest[] = {0, 0, 0x80, 0x800, 0x10000};
  const auto first = static_cast<unsigned char>(bytes.front());
  std::uint32_t code_point = first & (0xFFU >> (bytes.size() + 1));
  for (const char character : bytes.substr(1)) {
    const auto byte = static_cast<unsigned char>(character);
    if ((byte & 0xC0) != 0x80) {
      return false;
    }
    code_point = (code_point << 6) | (byte & 0x3FU);
  }
  const bool is_surrogate =
      code_point >= kFirstSurrogate && code_point <= kLastSurrogate;
  return code_point >= kSmallest[bytes.size()] &&
         code_point <= kLastCodePoint && !is_surrogate;
}

std::string EscapeAscii(char character) {
  constexpr const char* kDigits = "0123456789abcdef";
  const auto byte = static_cast<unsigned char>(character);
  if (character == '"' || character == '\\') {
    return {'\\', character};
  }
  if (character == '\n') {
    return "\\n";
  }
  if (byte < kFirstPrintable || byte == 0x7F) {
    return std::string("\\u00") + kDigits[byte >> 4] + kDigits[byte & 0xF];
  }
  return {character};
}

}  // namespace

std::string JsonString(std::string_view text) {
  std::string quoted = "\"";
  while (!text.empty()) {
    const auto first = static_cast<unsigned char>(text.front());
    if (first < kFirstNonAscii) {
      quoted += EscapeAscii(text.front());
      text.remove_prefix(1);
      continue;
    }
    const std::size_t length = SequenceLength(first);
    if (length > 0 && length <= text.size() &&
        IsValidSequence(text.substr(0, length))) {
      quoted += text.substr(0, length);
      text.remove_prefix(length);
      continue;
    }
    quoted += "\\ufffd";
    text.remove_prefix(1);
  }
  return quoted + "\"";
}

std::string JsonNumber(double number) {
  assert(std::isfinite(number));
  std::array<char, 32> buffer{};
  const auto [end, code] =
      std::to_chars(buffer.data(), buffer.data() + buffer.size(), number);
  assert(code == std::errc());
  return {buffer.data(), end};
}

}  // namespace medlarspread::base
