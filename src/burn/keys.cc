// Formats and parses the keys in the store.

#include "src/burn/keys.h"

#include <charconv>
#include <vector>

namespace medlarspread::burn {

namespace {

constexpr std::int64_t kBucketsPerHour = kMinutesPerHour / kMinutesPerBucket;

std::vector<std::string> SplitAfter(std::string_view key,
                                    std::string_view prefix) {
  std::vector<std::string> parts;
  if (!key.starts_with(prefix)) {
    return parts;
  }
  key.remove_prefix(prefix.size());
  while (true) {
    const auto slash = key.find('/');
    parts.emplace_back(key.substr(0, slash));
    if (slash == std::string_view::npos) {
      return parts;
    }
    key.remove_prefix(slash + 1);
  }
}

std::optional<std::int64_t> ParseNumber(const std::string& text) {
  std::int64_t number = 0;
  const char* const end = text.data() + text.size();
  const auto [stop, error] = std::from_chars(text.data(), end, number);
  if (error != std::errc() || stop != end) {
    return std::nullopt;
  }
  return number;
}

std::string Join(const VmIncarnation& of) {
  return of.vm + "/" + std::to_string(of.incarnation);
}

}  // namespace

std::int64_t RawKey::hour() const {
  return bucket / kBucketsPerHour;
}

std::string RawKey::ToString() const {
  return kRawPrefix + failure_domain + "/" + Join(writer) + "/" +
         std::to_string(bucket) + "/" + std::to_string(part);
}

std::optional<RawKey> ParseRawKey(std::string_view key) {
  const auto parts = SplitAfter(key, kRawPrefix);
  constexpr std::size_t kParts = 5;
  if (parts.size() != kParts) {
    return std::nullopt;
  }
  const auto incarnation = ParseNumber(parts[2]);
  const auto bucket = ParseNumber(parts[3]);
  const auto part = ParseNumber(parts[4]);
  if (!incarnation || !bucket || !part) {
    return std::nullopt;
  }
  return RawKey{parts[0], {parts[1], *incarnation}, *bucket, *part};
}

std::string HourKey::ToString() const {
  return kHourPrefix + std::to_string(hour) + "/" + failure_domain + "/" +
         std::to_string(generation);
}

std::optional<HourKey> ParseHourKey(std::string_view key) {
  const auto parts = SplitAfter(key, kHourPrefix);
  constexpr std::size_t kParts = 3;
  if (parts.size() != kParts) {
    return std::nullopt;
  }
  const auto hour = ParseNumber(parts[0]);
  const auto generation = ParseNumber(parts[2]);
  if (!hour || !generation) {
    return std::nullopt;
  }
  return HourKey{*hour, parts[1], *generation};
}

std::string DayKey(std::int64_t day) {
  return kDayPrefix + std::to_string(day);
}

std::optional<std::int64_t> ParseDayKey(std::string_view key) {
  const auto parts = SplitAfter(key, kDayPrefix);
  return parts.size() == 1 ? ParseNumber(parts[0]) : std::nullopt;
}

std::string GoneKey::ToString() const {
  return kGonePrefix + failure_domain + "/" + Join(of);
}

std::optional<GoneKey> ParseGoneKey(std::string_view key) {
  const auto parts = SplitAfter(key, kGonePrefix);
  constexpr std::size_t kParts = 3;
  if (parts.size() != kParts) {
    return std::nullopt;
  }
  const auto incarnation = ParseNumber(parts[2]);
  if (!incarnation) {
    return std::nullopt;
  }
  return GoneKey{parts[0], {parts[1], *incarnation}};
}

std::string EncodeMark(std::int64_t wall_ms) {
  return std::to_string(wall_ms);
}

std::optional<std::int64_t> ParseMark(const std::string& value) {
  return ParseNumber(value);
}

}  // namespace medlarspread::burn
