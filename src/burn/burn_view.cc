// Sums the counts of the two windows of the view.

#include "src/burn/burn_view.h"

#include <algorithm>
#include <map>
#include <string>

#include "src/burn/target_evaluation.h"

namespace medlarspread::burn {

namespace {

std::map<std::string, SumWithAllowance> SumSince(const Cells& cells,
                                                 std::int64_t first_minute) {
  std::map<std::string, SumWithAllowance> sums;
  for (auto cell = cells.lower_bound(CellKey{first_minute, "", {}});
       cell != cells.end(); ++cell) {
    sums[cell->first.class_name].Add(cell->first.applied_targets, cell->second);
  }
  return sums;
}

double WorseBurn(const SumWithAllowance& sum) {
  return std::max(sum.latency_burn().value_or(kBurnWithoutBudget),
                  sum.coverage_burn().value_or(kBurnWithoutBudget));
}

}  // namespace

blackboard::BurnView MakeBurnView(const Cells& recent,
                                  std::int64_t now_minute) {
  blackboard::BurnView view;
  for (const auto& [name, sum] :
       SumSince(recent, now_minute + 1 - kLongWindowMinutes)) {
    view.classes[name].long_window_burn = WorseBurn(sum);
  }
  for (const auto& [name, sum] :
       SumSince(recent, now_minute + 1 - kShortWindowMinutes)) {
    view.classes[name].short_window_burn = WorseBurn(sum);
  }
  return view;
}

void ForgetOldCells(Cells& recent, std::int64_t now_minute) {
  const CellKey first{now_minute + 1 - kLongWindowMinutes, "", {}};
  recent.erase(recent.begin(), recent.lower_bound(first));
}

}  // namespace medlarspread::burn
