// A report from one daemon to the others about a run of a request, which is one
// execution at one leaf.

#ifndef MEDLARSPREAD_QUARANTINE_RUN_REPORT_H_
#define MEDLARSPREAD_QUARANTINE_RUN_REPORT_H_

#include <string>

#include "src/base/clock.h"
#include "src/base/name_table.h"
#include "src/quarantine/fingerprint.h"

namespace medlarspread::quarantine {

enum class RunFinding {
  // A leaf's process ended while it was executing the request.
  kLeafEnded,
  // A run of the request was answered.
  kCompleted,
  // The request was convicted: it must not be sent to any leaf.
  kConvicted,
};

inline constexpr base::NameTable<RunFinding, 3> kRunFindingNames{{{
    {RunFinding::kLeafEnded, "leaf_ended"},
    {RunFinding::kCompleted, "completed"},
    {RunFinding::kConvicted, "convicted"},
}}};

struct RunReport {
  Fingerprint fingerprint;
  RunFinding finding = RunFinding::kLeafEnded;
  // Times by the clock of the daemon that holds this report; sent between
  // daemons as ages. `began` is when the request was sent to the leaf.
  base::MonotonicTime began;
  base::MonotonicTime ended;
  // The name of the leaf's process incarnation; empty unless it ended.
  std::string leaf;

  friend bool operator==(const RunReport&, const RunReport&) = default;
};

}  // namespace medlarspread::quarantine

#endif  // MEDLARSPREAD_QUARANTINE_RUN_REPORT_H_
