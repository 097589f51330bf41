// Writes the burn report as one HTML page with inline style and SVG; the page
// loads nothing and contains no scripts.

#include <spdlog/fmt/fmt.h>

#include "src/burn/burn_chart.h"
#include "src/burn/report_format.h"
#include "src/burn/report_writers.h"

namespace medlarspread::burn {

namespace {

constexpr char kStyle[] = R"(
body { font: 15px/1.45 system-ui, sans-serif; color: #1c1c1c; margin: 24px auto;
  max-width: 920px; padding: 0 16px; }
h1 { font-size: 22px; margin-bottom: 4px; }
h2 { font-size: 18px; margin: 32px 0 4px; }
p { margin: 4px 0; }
.notice { border-left: 4px solid #b35900; padding: 4px 10px; margin: 10px 0;
  background: #fff4e5; }
table { border-collapse: collapse; margin: 8px 0; font-size: 14px; width: 100%;
  font-variant-numeric: tabular-nums; }
th, td { padding: 3px 8px; text-align: right; border-bottom: 1px solid #ddd; }
th { font-weight: 600; border-bottom: 1px solid #888; }
th.name, td.name { text-align: left; }
tr.first td { border-top: 1px solid #888; }
.met { color: #1a6b2f; }
.open { color: #8a5a00; }
.missed { color: #b3001b; font-weight: 600; }
.idle, .quiet { color: #666; }
svg { width: 100%; height: auto; display: block; }
svg path { fill: none; }
svg .grid { stroke: #e2e2e2; }
svg .even { stroke: #555; stroke-dasharray: 2 3; }
svg .tick { font-size: 12px; fill: #555; }
svg .missing { fill: #9a9a9a; fill-opacity: 0.25; }
.latency { stroke: #0063a8; stroke-width: 2.2; }
.coverage { stroke: #c24e00; stroke-width: 2.2; stroke-dasharray: 7 3; }
.legend svg { display: inline; width: 34px; height: 10px; }
.legend span { margin-right: 18px; }
)";

std::string WriteNotice(const std::string& text) {
  return "<p class=\"notice\">" + EscapeHtml(text) + "</p>\n";
}

std::string WriteHead(const BurnReport& report) {
  std::string html = fmt::format(
      "<h1>Service-level burn</h1>\n<p class=\"quiet\">Made {} by {}. Quarter "
      "{} to {}, UTC.</p>\n",
      WriteTime(report.made_wall_ms), EscapeHtml(report.reporting_vm),
      WriteShortTime(report.quarter_start_wall_ms),
      WriteShortTime(report.quarter_end_wall_ms));
  if (report.is_partial) {
    html += WriteNotice("This report is partial. Counts of other VMs as of " +
                        (report.others_read_wall_ms
                             ? WriteTime(*report.others_read_wall_ms)
                             : std::string("never")) +
                        ".");
  }
  for (const std::string& note : report.notes) {
    html += WriteNotice(note);
  }
  return html;
}

std::string WriteTargetCells(const WindowReport& window,
                             const char* name,
                             const TargetReport& target) {
  const char* const verdict = kVerdictNames.NameOf(target.verdict);
  return fmt::format(
      "<td class=\"name\">{}</td><td>{}</td><td>{}</td><td>{}</td><td>{}</td>"
      "<td>{}</td><td>{}</td><td class=\"{}\">{}</td></tr>\n",
      name, WriteCount(window.counts.asked), WriteCount(target.good),
      WriteCount(target.bad),
      WriteCount(WholeRequests(target.allowed_millionths)),
      WriteShare(target.share), WriteBurn(target.burn_rate), verdict, verdict);
}

std::string WriteWindows(const ClassReport& row) {
  std::string html =
      "<table><tr><th class=\"name\">Window</th><th class=\"name\">Target</th>"
      "<th>Asked</th><th>Good</th><th>Bad</th><th>Allowed</th><th>Share</th>"
      "<th>Burn</th><th>Verdict</th></tr>\n";
  for (const WindowReport& window : row.windows) {
    html += fmt::format(
        "<tr class=\"first\"><td class=\"name\" rowspan=\"2\">{}</td>",
        window.name);
    html += WriteTargetCells(window, "latency", window.latency);
    html += "<tr>" + WriteTargetCells(window, "coverage", window.coverage);
  }
  return html + "</table>\n";
}

std::string WriteExtraLoad(const WindowReport& window) {
  constexpr double kPercent = 100.0;
  return window.extra_load
             ? fmt::format("{:+.2f}%", *window.extra_load * kPercent)
             : "-";
}

std::string WriteOutcomes(const ClassReport& row) {
  std::string html =
      "<table><tr><th class=\"name\">Window</th><th>Answered</th>"
      "<th>Refused</th><th>Unknown</th><th>Both met</th><th>Extra load</th>"
      "<th>Unaccounted VM time</th><th>Unaccounted requests, at most "
      "about</th>"
      "<th>Not written yet</th></tr>\n";
  for (const WindowReport& window : row.windows) {
    const Counts& counts = window.counts;
    const Unaccounted& unaccounted = window.unaccounted;
    html += fmt::format(
        "<tr><td class=\"name\">{}</td><td>{}</td><td>{}</td><td>{}</td>"
        "<td>{}</td><td>{}</td><td>{}</td><td>{}</td><td>{}</td></tr>\n",
        window.name, WriteCount(counts.answered), WriteCount(counts.refused),
        WriteCount(counts.unknown), WriteCount(counts.both_met),
        WriteExtraLoad(window), WriteDuration(unaccounted.vm_milliseconds),
        WriteCount(unaccounted.requests_estimate),
        WriteDuration(unaccounted.pending_vm_milliseconds));
  }
  return html + "</table>\n";
}

std::string WriteBudget(const char* name,
                        const BudgetReport& budget,
                        const BurnReport& report) {
  return fmt::format(
      "<p><b>Budget of the quarter so far, {}:</b> {}; {}.</p>\n", name,
      WriteBudgetLeft(budget), WriteRunsOut(budget, report));
}

std::string WriteLegend() {
  return "<p class=\"legend quiet\"><span>Burn in the last 6 hours, UTC; at 1 "
         "(dotted) the budget is spent exactly</span><br>"
         "<span><svg viewBox=\"0 0 34 10\"><path class=\"latency\" "
         "d=\"M0 5H34\"/></svg> latency</span>"
         "<span><svg viewBox=\"0 0 34 10\"><path class=\"coverage\" "
         "d=\"M0 5H34\"/></svg> coverage</span>"
         "<span><svg viewBox=\"0 0 34 10\"><rect class=\"missing\" "
         "width=\"34\" "
         "height=\"10\"/></svg> a VM's counts are missing</span></p>\n";
}

std::string WriteClass(const ClassReport& row, const BurnReport& report) {
  return fmt::format("<h2>{}</h2>\n<p class=\"quiet\">{} (revision {})</p>\n",
                     EscapeHtml(row.name), WriteTargets(row.latest_targets),
                     row.latest_targets.revision) +
         WriteBudget("latency", row.latency_budget, report) +
         WriteBudget("coverage", row.coverage_budget, report) +
         DrawBurn(row.name, row.history) + WriteLegend() + WriteWindows(row) +
         WriteOutcomes(row);
}

std::string WriteGaps(const BurnReport& report) {
  if (report.gaps.empty()) {
    return "";
  }
  std::string html =
      "<h2>VM time without counts</h2>\n<table><tr><th class=\"name\">VM</th>"
      "<th>Incarnation</th><th>From</th><th>Until</th><th>Length</th>"
      "<th>Requests, at most about</th><th class=\"name\">State</th></tr>\n";
  for (const GapReport& gap : report.gaps) {
    html += fmt::format(
        "<tr><td class=\"name\">{}</td><td>{}</td><td>{}</td><td>{}</td>"
        "<td>{}</td><td>{}</td><td class=\"name\">{}</td></tr>\n",
        EscapeHtml(gap.vm), gap.incarnation, WriteTime(gap.from_wall_ms),
        WriteTime(gap.until_wall_ms),
        WriteDuration(gap.until_wall_ms - gap.from_wall_ms),
        WriteCount(gap.requests_estimate),
        gap.is_pending ? "not written yet" : "unaccounted");
  }
  html += "</table>\n";
  if (report.gaps_omitted > 0) {
    html += fmt::format("<p>And {} shorter ones.</p>\n", report.gaps_omitted);
  }
  return html;
}

}  // namespace

std::string WriteHtml(const BurnReport& report) {
  std::string html = fmt::format(
      "<!DOCTYPE html>\n<html lang=\"en\"><head><meta charset=\"utf-8\">"
      "<meta name=\"viewport\" content=\"width=device-width\">"
      "<title>Service-level burn</title><style>{}</style></head><body>\n",
      kStyle);
  html += WriteHead(report);
  for (const ClassReport& row : report.classes) {
    html += WriteClass(row, report);
  }
  html += WriteGaps(report);
  html += fmt::format(
      "<p class=\"quiet\">Minutes are cut by each VM's own clock: the largest "
      "lead of a clock seen is {} ms, the largest step {} ms. Refused and "
      "unknown requests are bad. Numbers of requests in unaccounted time are "
      "estimates; all others are exact counts.</p>\n</body></html>\n",
      report.clock_lead_ms, report.clock_step_ms);
  return html;
}

}  // namespace medlarspread::burn
