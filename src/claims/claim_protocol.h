// Constants and functions of claims on which all daemons must agree. They are
// not settings: two daemons that map a request identifier to different keys, or
// that keep claims for different times, could both grant it. To change a value,
// change the prefix as well, and first keep all daemons with the old value
// stopped for the retention period.

#ifndef MEDLARSPREAD_CLAIMS_CLAIM_PROTOCOL_H_
#define MEDLARSPREAD_CLAIMS_CLAIM_PROTOCOL_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

namespace medlarspread::claims {

constexpr char kKeyPrefix[] = "claims/v1/";

// Identifiers that were created in the same slice of time share keys.
constexpr std::int64_t kSliceMilliseconds = 2'000;

// The number of keys per slice. With ClaimSettings::group_interval it bounds
// the writes per second of all daemons together.
constexpr std::uint64_t kBucketsPerSlice = 4;

// Identifiers older than this are refused by every daemon.
constexpr std::int64_t kRetentionMilliseconds = 600'000;

// The maximum error of the wall clock of a daemon or caller.
constexpr std::int64_t kAllowedClockDifferenceMilliseconds = 10'000;

// The maximum wait for a claim, whatever the caller's deadline.
constexpr std::int64_t kMaxWaitMilliseconds = 30'000;

// A key is erased this long after its youngest identifier expired. A grant can
// follow that moment by at most one clock error plus the maximum wait, and the
// clock of the erasing daemon may be ahead by another clock error.
constexpr std::int64_t kEraseMarginMilliseconds = 60'000;
static_assert(kEraseMarginMilliseconds >=
              2 * kAllowedClockDifferenceMilliseconds + kMaxWaitMilliseconds);

// The store's limit is 1 MB; the rest is reserved for its framing.
constexpr std::size_t kMaxValueBytes = 900'000;

// Returns the creation time in an identifier of the form `<milliseconds>-<8 to
// 64 letters, digits>`; nullopt if the format is wrong.
std::optional<std::int64_t> MadeAtMilliseconds(const std::string& request_id);

// Whether an identifier created at `made_at_ms` may still be claimed at
// `now_ms`.
bool IsWithinRetention(std::int64_t made_at_ms, std::int64_t now_ms);

std::int64_t SliceOf(std::int64_t made_at_ms);

// The prefix of all keys of one slice.
std::string SlicePrefix(std::int64_t slice);

// The key under which a claim of this identifier is recorded.
std::string BucketKey(const std::string& request_id, std::int64_t made_at_ms);

}  // namespace medlarspread::claims

#endif  // MEDLARSPREAD_CLAIMS_CLAIM_PROTOCOL_H_
