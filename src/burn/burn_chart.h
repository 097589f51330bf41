// Draws one class's burn rate over the last hours as inline SVG.

#ifndef MEDLARSPREAD_BURN_BURN_CHART_H_
#define MEDLARSPREAD_BURN_BURN_CHART_H_

#include <string>
#include <vector>

#include "src/burn/report.h"

namespace medlarspread::burn {

// Draws two lines, for the latency and the coverage target, on a logarithmic
// scale. The tick at 1 marks a burn rate that uses up the error budget exactly.
// A line is interrupted where there were no requests; time without counts is
// shaded. Values beyond the scale, and misses where the targets allow none, are
// drawn at the top. `class_name` is plain text.
std::string DrawBurn(const std::string& class_name,
                     const std::vector<HistoryPoint>& history);

// Returns `text` with HTML's special characters escaped.
std::string EscapeHtml(const std::string& text);

}  // namespace medlarspread::burn

#endif  // MEDLARSPREAD_BURN_BURN_CHART_H_
