// Exact integer counts of requests, and the cells that hold them. There is one
// cell per class, minute and set of targets in force when the requests arrived.
// The whole burn report is computed from sums of these cells.

#ifndef MEDLARSPREAD_BURN_COUNTS_H_
#define MEDLARSPREAD_BURN_COUNTS_H_

#include <compare>
#include <cstdint>
#include <map>
#include <string>

#include "src/burn/request_record.h"

namespace medlarspread::burn {

constexpr std::int64_t kMillion = 1'000'000;
constexpr std::int64_t kMillisecondsPerMinute = 60'000;
constexpr std::int64_t kMinutesPerHour = 60;
constexpr std::int64_t kMinutesPerDay = 24 * kMinutesPerHour;

// Sums over requests. Invariant: asked == answered + refused + unknown, and
// both_met <= in_time, coverage_met <= answered.
struct Counts {
  std::int64_t asked = 0;
  std::int64_t answered = 0;
  // Answered within the latency target.
  std::int64_t in_time = 0;
  // Answered with at least the coverage target.
  std::int64_t coverage_met = 0;
  std::int64_t both_met = 0;
  std::int64_t refused = 0;
  std::int64_t unknown = 0;
  std::int64_t shard_answers = 0;
  std::int64_t upstream_sends = 0;

  Counts& operator+=(const Counts& other);
  Counts& operator-=(const Counts& other);
  friend bool operator==(const Counts&, const Counts&) = default;
};

// The targets that a request is evaluated against. Integers, so that cells of
// different VMs compare and add up exactly.
struct AppliedTargets {
  std::int64_t revision = 0;
  std::int64_t latency_us = 0;
  std::int64_t coverage_ppm = 0;
  // Error budget: how many of a million requests may miss the target.
  std::int64_t latency_allowed_ppm = 0;
  std::int64_t coverage_allowed_ppm = 0;

  // NOLINTBEGIN(modernize-use-nullptr): misfires on a defaulted <=>.
  friend auto operator<=>(const AppliedTargets&,
                          const AppliedTargets&) = default;
  // NOLINTEND(modernize-use-nullptr)
};

struct CellKey {
  // Minutes since 1970 by the wall clock of the VM that received the request.
  // In cells rolled up to hours, the first minute of the hour.
  std::int64_t minute = 0;
  std::string class_name;
  AppliedTargets applied_targets;

  // NOLINTNEXTLINE(modernize-use-nullptr): misfires on a defaulted <=>.
  friend auto operator<=>(const CellKey&, const CellKey&) = default;
};

using Cells = std::map<CellKey, Counts>;

// The cell that `record` belongs to, and the counts that it adds to this cell.
CellKey KeyOf(const RequestRecord& record);
Counts CountOf(const RequestRecord& record);

void Add(const Cells& from, Cells& to);

// Subtracts `part`, which must be contained in `from`; cells that become empty
// are removed.
void Subtract(const Cells& part, Cells& from);

// Returns `wall_ms` in minutes, rounded down; also for times before 1970.
std::int64_t MinuteOf(std::int64_t wall_ms);

}  // namespace medlarspread::burn

#endif  // MEDLARSPREAD_BURN_COUNTS_H_
