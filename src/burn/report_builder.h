// Computes the burn report from segments. Pure: all VMs compute the same report
// from the same input.

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
  // Segments by identifier. A segment that another one lists as its source is
  // ignored.
  std::map<std::string, Segment> segments;
  // When members were seen to be gone, by the clock of the VM that noticed it.
  std::map<VmIncarnation, std::int64_t> gone_wall_ms;
  // The incarnations that are members now.
  std::set<VmIncarnation> members;
  // Missing counts are not overdue until this long after the last write.
  base::Duration pending_grace{};
  // The longest time between the arrival and the recording of a request.
  base::Duration longest_request{};
  bool is_partial = false;
  std::optional<std::int64_t> others_read_wall_ms;
  std::vector<std::string> notes;
  // Limits the report to this class; empty for all classes.
  std::string class_name;
};

BurnReport BuildReport(const ReportInput& input);

}  // namespace medlarspread::burn

#endif  // MEDLARSPREAD_BURN_REPORT_BUILDER_H_
