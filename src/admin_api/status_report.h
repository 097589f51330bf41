// Renders the status page: the VMs, upstreams, targets and alarms known to this
// daemon, as JSON.

#ifndef MEDLARSPREAD_ADMIN_API_STATUS_REPORT_H_
#define MEDLARSPREAD_ADMIN_API_STATUS_REPORT_H_

#include <string>

#include "src/blackboard/blackboard.h"
#include "src/targets/targets_alarms.h"

namespace medlarspread::admin_api {

// `queues` is JSON that becomes the field "queues"; null if it is invalid. This
// daemon's revision counts as in force on every live VM that has this revision
// or a higher one.
std::string MakeStatusReport(const blackboard::Blackboard& blackboard,
                             const targets::TargetsAlarms& alarms,
                             const std::string& queues);

}  // namespace medlarspread::admin_api

#endif  // MEDLARSPREAD_ADMIN_API_STATUS_REPORT_H_
