// Sums over the two windows of the view.

#include "src/burn/burn_view.h"

#include <algorithm>
#include <map>
#include <string>

#include "src/burn/report_builder.h"

namespace medlarspread::burn {

namespace {

struct ClassSum {
  Counts counts;
  Allowance allowance;
};

std::map<std::string, ClassSum> SumSince(const Cells& cells,
                                         std::int64_t first_minute) {
  std::map<std::string, ClassSum> sums;
  for (auto cell = cells.lower_bound(CellKey{first_minute, "", {}});
       cell != cells.end(); ++cell) {
    ClassSum& sum = sums[cell->first.class_name];
    sum.counts += cell->second;
    const Allowance allowed = AllowanceOf(cell->first.judged_by, cell->second);
    sum.allowance.latency_millionths += allowed.latency_millionths;
    sum.allowance.coverage_millionths += allowed.coverage_millionths;
  }
  return sums;
}

double WorseBurn(const ClassSum& sum) {
  const Counts& counts = sum.counts;
  const auto latency =
      BurnRate(counts.asked - counts.in_time, sum.allowance.latency_millionths);
  const auto coverage = BurnRate(counts.asked - counts.coverage_met,
                                 sum.allowance.coverage_millionths);
  return std::max(latency.value_or(kBurnWithoutBudget),
                  coverage.value_or(kBurnWithoutBudget));
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
