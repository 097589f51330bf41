// Decides at the entry whether a request is taken in or refused at once. A
// request is refused when it would wait too long in the queues to meet its
// latency target or its deadline. The queues let classes with little slack go
// first, so under load the wait grows first for the classes with most slack,
// and those are refused first. A refused request is answered at once and told
// when to come back.

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
  // When refused: how long the caller should wait before it asks again.
  base::Duration retry_after{};
};

// Safe to use from any thread.
class EntryGate {
 public:
  // `expected_wait` is that of a request of this class in the slowest queue it
  // needs.
  Decision Admit(const blackboard::ClassTargets& targets,
                 base::Duration expected_wait,
                 base::Duration deadline_left);

 private:
  // Admits `share` of the calls for `class_name`, spread evenly.
  bool TakeTurn(const std::string& class_name, double share);

  std::mutex mutex_;
  // Per class the part of an admission that is owed. Invariant: in [0, 1).
  std::map<std::string, double> owed_;
};

}  // namespace medlarspread::admission

#endif  // MEDLARSPREAD_ADMISSION_ENTRY_GATE_H_
