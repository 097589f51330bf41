// The burn rates that admission control uses, computed from this VM's own
// counts of the last hour.

#ifndef MEDLARSPREAD_BURN_BURN_VIEW_H_
#define MEDLARSPREAD_BURN_BURN_VIEW_H_

#include <cstdint>

#include "src/blackboard/views.h"
#include "src/burn/counts.h"

namespace medlarspread::burn {

// Lengths of the two windows; each includes the current minute.
constexpr std::int64_t kShortWindowMinutes = 5;
constexpr std::int64_t kLongWindowMinutes = 60;

// Represents an unbounded burn rate: requests missed a target that allows no
// misses.
constexpr double kBurnWithoutBudget = 1e6;

// Computes each class's burn rate: the higher of its latency and coverage burn
// rates.
blackboard::BurnView MakeBurnView(const Cells& recent, std::int64_t now_minute);

// Drops the cells that are older than the longest window.
void ForgetOldCells(Cells& recent, std::int64_t now_minute);

}  // namespace medlarspread::burn

#endif  // MEDLARSPREAD_BURN_BURN_VIEW_H_
