// What admission reads of the burn: this VM's own counts of the last hour.

#ifndef MEDLARSPREAD_BURN_BURN_VIEW_H_
#define MEDLARSPREAD_BURN_BURN_VIEW_H_

#include <cstdint>

#include "src/blackboard/views.h"
#include "src/burn/counts.h"

namespace medlarspread::burn {

// The minutes of the two windows, the one in progress included.
constexpr std::int64_t kShortWindowMinutes = 5;
constexpr std::int64_t kLongWindowMinutes = 60;

// Stands for a burn without bound: something was bad and nothing is allowed.
constexpr double kBurnWithoutBudget = 1e6;

// The burn of each class: that of its latency or its coverage target, whichever
// burns faster.
blackboard::BurnView MakeBurnView(const Cells& recent, std::int64_t now_minute);

// Drops the cells that no window contains any more.
void ForgetOldCells(Cells& recent, std::int64_t now_minute);

}  // namespace medlarspread::burn

#endif  // MEDLARSPREAD_BURN_BURN_VIEW_H_
