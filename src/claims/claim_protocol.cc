// Computes ages, slices and keys of request identifiers.

#include "src/claims/claim_protocol.h"

#include <algorithm>
#include <cctype>
#include <charconv>
#include <string_view>

#include <xxhash.h>

namespace medlarspread::claims {

namespace {

constexpr std::size_t kShortestSuffix = 8;
constexpr std::size_t kLongestSuffix = 64;

bool IsLetterOrDigit(unsigned char character) {
  return std::isalnum(character) != 0;
}

bool IsSuffix(std::string_view text) {
  return kShortestSuffix <= text.size() && text.size() <= kLongestSuffix &&
         std::all_of(text.begin(), text.end(), IsLetterOrDigit);
}

}  // namespace

std::optional<std::int64_t> MadeAtMilliseconds(const std::string& request_id) {
  const std::string_view text(request_id);
  const std::size_t dash = text.find('-');
  if (dash == std::string_view::npos || !IsSuffix(text.substr(dash + 1))) {
    return std::nullopt;
  }
  std::int64_t made_at_ms = 0;
  const char* const end = text.data() + dash;
  const auto [stop, error] = std::from_chars(text.data(), end, made_at_ms);
  if (error != std::errc() || stop != end || made_at_ms < 0) {
    return std::nullopt;
  }
  return made_at_ms;
}

bool IsWithinRetention(std::int64_t made_at_ms, std::int64_t now_ms) {
  return made_at_ms <= now_ms + kAllowedClockDifferenceMilliseconds &&
         now_ms - made_at_ms <= kRetentionMilliseconds;
}

std::int64_t SliceOf(std::int64_t made_at_ms) {
  return made_at_ms / kSliceMilliseconds;
}

std::string SlicePrefix(std::int64_t slice) {
  return kKeyPrefix + std::to_string(slice) + "/";
}

std::string BucketKey(const std::string& request_id, std::int64_t made_at_ms) {
  const std::uint64_t bucket =
      XXH64(request_id.data(), request_id.size(), 0) % kBucketsPerSlice;
  return SlicePrefix(SliceOf(made_at_ms)) + std::to_string(bucket);
}

}  // namespace medlarspread::claims
