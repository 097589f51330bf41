// The unit in which counts are kept in the platform's store.
//
// A segment is a value whose identifier is never reused. A VM incarnation
// writes one segment per bucket of ten minutes. Closed segments are merged into
// the segment of their failure domain and hour, and that one into the segment
// of the day. A segment lists the segments that it contains, so that a reader
// that sees both counts them once, even if a roll-up was interrupted.

#ifndef MEDLARSPREAD_BURN_SEGMENT_H_
#define MEDLARSPREAD_BURN_SEGMENT_H_

#include <compare>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "src/base/result.h"
#include "src/burn/counts.h"

namespace medlarspread::burn {

constexpr std::int64_t kMinutesPerBucket = 10;

struct VmIncarnation {
  std::string vm;
  std::int64_t incarnation = 0;

  // NOLINTNEXTLINE(modernize-use-nullptr): misfires on a defaulted <=>.
  friend auto operator<=>(const VmIncarnation&, const VmIncarnation&) = default;
};

// [from, until) by the wall clock of the VM, milliseconds since 1970.
struct WallRange {
  std::int64_t from_ms = 0;
  std::int64_t until_ms = 0;

  std::int64_t length_ms() const {
    return until_ms > from_ms ? until_ms - from_ms : 0;
  }
  // NOLINTNEXTLINE(modernize-use-nullptr): misfires on a defaulted <=>.
  friend auto operator<=>(const WallRange&, const WallRange&) = default;
};

// Time in which an incarnation ran, or may have run, and for which its counts
// are lost.
struct Gap {
  VmIncarnation of;
  WallRange range;
  // Estimated upper bound of the requests that arrived in it, by class.
  std::map<std::string, std::int64_t> requests;

  friend bool operator==(const Gap&, const Gap&) = default;
};

// Time for which an incarnation's counts are in the store.
struct Cover {
  VmIncarnation of;
  WallRange range;

  friend bool operator==(const Cover&, const Cover&) = default;
};

// A segment that another one contains.
struct Source {
  std::string id;
  // The sequence number of the source when it was merged.
  std::int64_t sequence = 0;

  // NOLINTNEXTLINE(modernize-use-nullptr): misfires on a defaulted <=>.
  friend auto operator<=>(const Source&, const Source&) = default;
};

struct Segment {
  // Set in a VM's own segment, empty in roll-ups.
  VmIncarnation writer;
  // Random number of the writing process. Distinguishes two processes that were
  // started with the same name and incarnation by mistake.
  std::int64_t nonce = 0;
  // Incremented with each write of this segment.
  std::int64_t sequence = 0;
  // The time that a VM's own segment accounts for: requests recorded before
  // `range.until_ms`.
  WallRange range;
  // No counts will be added. Invariant: never reset.
  bool is_closed = false;
  // The incarnation shut down in an orderly way at range.until_ms.
  bool is_last = false;
  // Closed by another VM, because its writer appeared to be gone.
  bool is_sealed = false;
  // The writer found that one of its earlier segments was sealed, so its time
  // must be removed from the gap that was recorded then.
  bool is_after_seal = false;
  // The largest step of the writer's wall clock against its monotonic clock.
  std::int64_t clock_step_ms = 0;
  Cells cells;
  std::vector<Gap> gaps;
  std::vector<Cover> covers;
  std::vector<Source> sources;

  friend bool operator==(const Segment&, const Segment&) = default;
};

std::string EncodeSegment(const Segment& segment);
base::Result<Segment> DecodeSegment(const std::string& text);

}  // namespace medlarspread::burn

#endif  // MEDLARSPREAD_BURN_SEGMENT_H_
