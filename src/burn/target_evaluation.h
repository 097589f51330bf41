// Compares sums of counts with what their targets allow.

#ifndef MEDLARSPREAD_BURN_TARGET_EVALUATION_H_
#define MEDLARSPREAD_BURN_TARGET_EVALUATION_H_

#include <cstdint>
#include <optional>

#include "src/burn/counts.h"
#include "src/burn/report.h"
#include "src/burn/segment.h"

namespace medlarspread::burn {

// Counts, and how many bad requests the targets in force allow for them, in
// millionths of a request.
struct SumWithAllowance {
  Counts counts;
  std::int64_t latency_allowed_millionths = 0;
  std::int64_t coverage_allowed_millionths = 0;

  void Add(const AppliedTargets& applied_targets, const Counts& added);
  std::optional<double> latency_burn() const;
  std::optional<double> coverage_burn() const;
};

// Sums the cells whose minute starts in `range`.
SumWithAllowance SumOver(const Cells& cells, const WallRange& range);

// Returns bad over allowed requests. Absent if there were bad requests but none
// are allowed.
std::optional<double> BurnRate(std::int64_t bad,
                               std::int64_t allowed_millionths);

// Evaluates one target. In the worst case all `unaccounted` requests were bad;
// each adds an allowance of `allowed_ppm`.
TargetReport EvaluateTarget(std::int64_t good,
                            std::int64_t asked,
                            std::int64_t allowed_millionths,
                            std::int64_t unaccounted,
                            std::int64_t allowed_ppm);

// Returns the calendar quarter (UTC) that contains `wall_ms`.
WallRange QuarterOf(std::int64_t wall_ms);

}  // namespace medlarspread::burn

#endif  // MEDLARSPREAD_BURN_TARGET_EVALUATION_H_
