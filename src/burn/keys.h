// Keys of the burn report in the platform's store. A key is also the identifier
// of the segment stored under it.
//
//   burn/raw/DOMAIN/VM/INCARNATION/BUCKET/PART   one VM, ten minutes
//   burn/hour/HOUR/DOMAIN/GENERATION             one failure domain, one hour
//   burn/day/DAY                                 the fleet, one day
//   burn/gone/DOMAIN/VM/INCARNATION              when it was seen to be gone
//
// BUCKET, HOUR and DAY count from 1970. Invariant: names hold no slash.

#ifndef MEDLARSPREAD_BURN_KEYS_H_
#define MEDLARSPREAD_BURN_KEYS_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "src/burn/segment.h"

namespace medlarspread::burn {

inline constexpr char kRawPrefix[] = "burn/raw/";
inline constexpr char kHourPrefix[] = "burn/hour/";
inline constexpr char kDayPrefix[] = "burn/day/";
inline constexpr char kGonePrefix[] = "burn/gone/";

struct RawKey {
  std::string failure_domain;
  VmIncarnation writer;
  std::int64_t bucket = 0;
  // Incremented when counts arrive for a bucket whose segment is already
  // closed.
  std::int64_t part = 0;

  std::int64_t start_minute() const { return bucket * kMinutesPerBucket; }
  std::int64_t hour() const;
  std::string ToString() const;
};

std::optional<RawKey> ParseRawKey(std::string_view key);

struct HourKey {
  std::int64_t hour = 0;
  std::string failure_domain;
  // Incremented when counts arrive for an hour whose segment is already closed
  // or full.
  std::int64_t generation = 0;

  std::string ToString() const;
};

std::optional<HourKey> ParseHourKey(std::string_view key);

std::string DayKey(std::int64_t day);
std::optional<std::int64_t> ParseDayKey(std::string_view key);

struct GoneKey {
  std::string failure_domain;
  VmIncarnation of;

  std::string ToString() const;
};

std::optional<GoneKey> ParseGoneKey(std::string_view key);

// The value of a mark: when the VM was seen to be gone, in milliseconds since
// 1970 by the clock of the VM that noticed it.
std::string EncodeMark(std::int64_t wall_ms);
std::optional<std::int64_t> ParseMark(const std::string& value);

}  // namespace medlarspread::burn

#endif  // MEDLARSPREAD_BURN_KEYS_H_
