// Computes the burn report from segments. Pure: the same input gives the same
// report on every VM.

#ifndef MEDLARSPREAD_BURN_REPORT_BUILDER_H_
#define MEDLARSPREAD_BURN_REPORT_BUILDER_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>

#include "src/base/clock.h"
#include "src/burn/report.h"
#include "src/burn/segment.h"

namespace medlarspread::burn {

struct ReportInput {
  std::string reporting_vm;
  std::int64_t now_wall_ms = 0;
  // By identifier. A segment that another one names as its source is ignored.
  std::map<std::string, Segment> segments;
  // When members were seen to be gone, by the clock of the VM that saw it.
  std::map<VmIncarnation, std::int64_t> gone_wall_ms;
  // The incarnations that are members now.
  std::set<VmIncarnation> members;
  // Counts that are younger than this are not overdue.
  base::Duration pending_grace{};
  // Requests may have been asked this long before they are recorded.
  base::Duration longest_request{};
  bool is_partial = false;
  std::optional<std::int64_t> others_read_wall_ms;
  std::vector<std::string> notes;
  // Only this class; empty for all.
  std::string class_name;
};

BurnReport BuildReport(const ReportInput& input);

}  // namespace medlarspread::burn

#endif  // MEDLARSPREAD_BURN_REPORT_BUILDER_H_
