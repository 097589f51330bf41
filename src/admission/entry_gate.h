// Decides on the arrival of a request from a caller whether it is admitted or
// refused immediately. A request is refused if it would wait too long in the
// queues to meet its latency target or its deadline. The queues serve classes
// with little slack first, so under load the wait grows first for the classes
// with most slack, and those are refused first. The refusal tells the caller
// when to retry.

#ifndef MEDLARSPREAD_ADMISSION_ENTRY_GATE_H_
#define MEDLARSPREAD_ADMISSION_ENTRY_GATE_H_

#include <map>
#include <mutex>
#include <string>

#include "src/base/clock.h"
#include "src/blackboard/views.h"

namespace medlarspread::admission {

struct Decision {
  bool is_admitted = true;
  // If refused: how long the caller should wait before a retry.
  base::Duration retry_after{};
};

// Safe to use from any thread.
class EntryGate {
 public:
  // `expected_wait` is the longest expected wait for this class among the
  // queues that the request needs.
  Decision Admit(const blackboard::ClassTargets& targets,
                 base::Duration expected_wait,
                 base::Duration deadline_left);

 private:
  // Returns true for `share` of the calls for `class_name`, spread evenly.
  bool AdmitByCredit(const std::string& class_name, double share);

  std::mutex mutex_;
  // Accumulated fraction of an admission per class. Invariant: in [0, 1).
  std::map<std::string, double> credits_;
};

}  // namespace medlarspread::admission

#endif  // MEDLARSPREAD_ADMISSION_ENTRY_GATE_H_
