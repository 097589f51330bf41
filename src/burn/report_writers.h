// The three writers behind FormatReport(), and their shared formatting.

#ifndef MEDLARSPREAD_BURN_REPORT_WRITERS_H_
#define MEDLARSPREAD_BURN_REPORT_WRITERS_H_

#include <cstdint>
#include <optional>
#include <string>

#include "src/burn/report.h"

namespace medlarspread::burn {

std::string WriteText(const BurnReport& report);
std::string WriteJson(const BurnReport& report);
std::string WriteHtml(const BurnReport& report);

// "2026-12-02T16:00:00Z".
std::string WriteTime(std::int64_t wall_ms);
// "2026-12-02 16:00", for human readers.
std::string WriteShortTime(std::int64_t wall_ms);
// "99.2%", with enough digits to differ from the target; "-" if absent.
std::string WriteShare(const std::optional<double>& share);
// "1.25"; "no budget" if absent.
std::string WriteBurn(const std::optional<double>& burn_rate);
// "99% within 91 ms, 99% with coverage 0.98 or more".
std::string WriteTargets(const AppliedTargets& targets);
// Returns whole requests, rounded down, so that the remaining budget is never
// overstated.
std::int64_t WholeRequests(std::int64_t millionths);
// "1,234,567".
std::string WriteCount(std::int64_t count);
// "621 requests left (481 if all that is unaccounted was bad)", or by how much
// the budget is overspent.
std::string WriteBudgetLeft(const BudgetReport& budget);
// "spent", "2026-12-02 18:10 at the rate of the last hour", or that the budget
// lasts.
std::string WriteRunsOut(const BudgetReport& budget, const BurnReport& report);
// "2 min 5 s".
std::string WriteDuration(std::int64_t milliseconds);

}  // namespace medlarspread::burn

#endif  // MEDLARSPREAD_BURN_REPORT_WRITERS_H_
