// The unit in which counts are kept in the platform's store.
//
// A segment is a value with an identifier that is never used again. A VM
// incarnation writes one segment per bucket of ten minutes; once closed it is
// folded into the segment of its failure domain and hour, and that into the
// segment of the day. A segment names the segments it contains, so that a
// reader that sees both counts them once, whoever stopped in between.

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

// Time in which an incarnation ran, or may have run, and whose counts are lost.
struct Gap {
  VmIncarnation of;
  WallRange range;
  // Estimate of the requests asked in it at most, by class.
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
  // How often it had been written when it was folded.
  std::int64_t sequence = 0;

  // NOLINTNEXTLINE(modernize-use-nullptr): misfires on a defaulted <=>.
  friend auto operator<=>(const Source&, const Source&) = default;
};

struct Segment {
  // Set in a VM's own segment, empty in roll-ups.
  VmIncarnation writer;
  // Drawn by the writing process. Tells two processes apart that were started
  // with the same name and incarnation in error.
  std::int64_t nonce = 0;
  // Grows with each write of this segment.
  std::int64_t sequence = 0;
  // What a VM's own segment accounts for: requests that were recorded by
  // `range.until_ms`.
  WallRange range;
  // Nothing will be added. Invariant: never unset again.
  bool is_closed = false;
  // The incarnation stopped as planned at range.until_ms.
  bool is_last = false;
  // Closed by another VM, because its writer seemed to be gone.
  bool is_sealed = false;
  // The writer has found an earlier segment of its sealed, so that its time
  // must be taken out of the gap that was noted then.
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
