// The status page: what this daemon knows of the fleet, the upstreams and the
// targets, as JSON.

#ifndef MEDLARSPREAD_ADMIN_API_STATUS_REPORT_H_
#define MEDLARSPREAD_ADMIN_API_STATUS_REPORT_H_

#include <string>

#include "src/blackboard/blackboard.h"
#include "src/targets/targets_alarms.h"

namespace medlarspread::admin_api {

// `queues` is a JSON text that becomes the field of that name; null if it is
// not valid JSON. A revision counts as in force on a live VM that has it or a
// higher one.
std::string MakeStatusReport(const blackboard::Blackboard& blackboard,
                             const targets::TargetsAlarms& alarms,
                             const std::string& queues);

}  // namespace medlarspread::admin_api

#endif  // MEDLARSPREAD_ADMIN_API_STATUS_REPORT_H_
