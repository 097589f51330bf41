// Keeps one report for each leaf and class of work.

#include "src/gossip/report_merge.h"

#include <algorithm>

namespace medlarspread::gossip {

namespace {

// As many as fit into four datagrams.
constexpr std::size_t kMaxRows = 64;

}  // namespace

void ReportMerge::Add(const routing::LeafReport& report) {
  const auto key = std::pair(report.leaf, report.class_name);
  const auto row = rows_.find(key);
  if (row == rows_.end()) {
    if (rows_.size() < kMaxRows) {
      rows_.emplace(key, report);
    }
    return;
  }
  routing::LeafReport& sum = row->second;
  const int answers = sum.replies - sum.failures;
  const int more = report.replies - report.failures;
  if (more > 0) {
    sum.work = (sum.work * answers + report.work * more) / (answers + more);
  }
  sum.replies += report.replies;
  sum.failures += report.failures;
}

std::vector<routing::LeafReport> ReportMerge::Take(std::size_t max_count) {
  std::vector<routing::LeafReport> reports;
  for (const auto& [key, report] : rows_) {
    reports.push_back(report);
  }
  std::stable_sort(reports.begin(), reports.end(),
                   [](const auto& left, const auto& right) {
                     return left.failures > right.failures;
                   });
  reports.resize(std::min(max_count, reports.size()));
  for (const routing::LeafReport& report : reports) {
    rows_.erase({report.leaf, report.class_name});
  }
  return reports;
}

}  // namespace medlarspread::gossip
