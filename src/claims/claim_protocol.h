// What all daemons must agree on about claims. None of it is a setting: two
// daemons that map one request identifier to two keys, or that keep claims for
// different times, could both grant it. To change a value, change the prefix
// as well and stop every daemon of the old kind for the retention first.

#ifndef MEDLARSPREAD_CLAIMS_CLAIM_PROTOCOL_H_
#define MEDLARSPREAD_CLAIMS_CLAIM_PROTOCOL_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

namespace medlarspread::claims {

constexpr char kKeyPrefix[] = "claims/v1/";

// Claims of identifiers that were made in one slice of time share keys.
constexpr std::int64_t kSliceMilliseconds = 2'000;

// Keys per slice. Together with ClaimSettings::group_interval this bounds the
// writes per second of the whole fleet.
constexpr std::uint64_t kBucketsPerSlice = 4;

// An identifier older than this is refused by every daemon.
constexpr std::int64_t kRetentionMilliseconds = 600'000;

// How far the wall clock of a daemon or caller may be from the true time.
constexpr std::int64_t kAllowedClockDifferenceMilliseconds = 10'000;

// No claim is waited for longer than this, whatever the caller's deadline.
constexpr std::int64_t kLongestWaitMilliseconds = 30'000;

// A key is erased this long after the youngest identifier in it expired. A
// grant can come no later than one clock difference plus the longest wait
// after that moment, and the eraser's clock may be early by another difference.
constexpr std::int64_t kEraseMarginMilliseconds = 60'000;
static_assert(kEraseMarginMilliseconds >=
              2 * kAllowedClockDifferenceMilliseconds +
                  kLongestWaitMilliseconds);

// The service's limit is 1 MB; the rest is room for its own framing.
constexpr std::size_t kLargestValueBytes = 900'000;

// When the identifier `<milliseconds>-<8 to 64 letters, digits>` was made, or
// nothing if it is not of that form.
std::optional<std::int64_t> MadeAtMilliseconds(const std::string& request_id);

// Whether an identifier made then may still be claimed at `now_ms`.
bool IsWithinRetention(std::int64_t made_at_ms, std::int64_t now_ms);

std::int64_t SliceOf(std::int64_t made_at_ms);

// The prefix of all keys of one slice.
std::string SlicePrefix(std::int64_t slice);

// The key that a claim of this identifier is recorded under.
std::string BucketKey(const std::string& request_id, std::int64_t made_at_ms);

}  // namespace medlarspread::claims

#endif  // MEDLARSPREAD_CLAIMS_CLAIM_PROTOCOL_H_
