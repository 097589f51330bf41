// Judges sums of counts against what their targets allow.

#ifndef MEDLARSPREAD_BURN_JUDGEMENT_H_
#define MEDLARSPREAD_BURN_JUDGEMENT_H_

#include <cstdint>
#include <optional>

#include "src/burn/counts.h"
#include "src/burn/report.h"
#include "src/burn/segment.h"

namespace medlarspread::burn {

// Counts together with how many bad requests the targets in force allow for
// them, in millionths of a request.
struct JudgedSum {
  Counts counts;
  std::int64_t latency_allowed_millionths = 0;
  std::int64_t coverage_allowed_millionths = 0;

  void Add(const JudgedBy& judged_by, const Counts& added);
  std::optional<double> latency_burn() const;
  std::optional<double> coverage_burn() const;
};

// Sums the cells whose minute starts in `range`.
JudgedSum SumOver(const Cells& cells, const WallRange& range);

// Bad over allowed. Absent when nothing is allowed although something was bad.
std::optional<double> BurnRate(std::int64_t bad,
                               std::int64_t allowed_millionths);

// Judges one target. `unaccounted` requests are taken for bad in the worst
// case, each with an allowance of `allowed_ppm` of its own.
TargetReport JudgeTarget(std::int64_t good,
                         std::int64_t asked,
                         std::int64_t allowed_millionths,
                         std::int64_t unaccounted,
                         std::int64_t allowed_ppm);

// The calendar quarter (UTC) that `wall_ms` lies in.
WallRange QuarterOf(std::int64_t wall_ms);

}  // namespace medlarspread::burn

#endif  // MEDLARSPREAD_BURN_JUDGEMENT_H_
