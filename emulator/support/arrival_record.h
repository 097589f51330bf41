// What leaves saw of requests, to be checked against the bound on sends beyond
// the first of each request.
//
// Every arrival counts, whoever sent it, whatever paid for it, and also where
// the leaf rejects it or it was meant for another leaf: this is the leaves'
// side, which knows nothing of the senders' accounts.

#ifndef MEDLARSPREAD_EMULATOR_SUPPORT_ARRIVAL_RECORD_H_
#define MEDLARSPREAD_EMULATOR_SUPPORT_ARRIVAL_RECORD_H_

#include <map>
#include <string>
#include <unordered_set>
#include <vector>

#include "src/admission/extra_send_budget.h"
#include "src/base/clock.h"

namespace medlarspread::emulator {

class ArrivalRecord {
 public:
  // A request reached a leaf of the collection. Calls come in the order of
  // time. True if it is the first arrival of the request there.
  bool DidArrive(const std::string& request_id,
                 const std::string& collection,
                 base::MonotonicTime at);

  // The window of each collection that is furthest beyond the bound, in words;
  // empty if none is. A window may begin at any arrival. Its requests are those
  // that arrived in it, in the window before it, or in the one half a window
  // before it, whichever are most.
  std::vector<std::string> FindExcess(
      const admission::ExtraSendBound& bound) const;

 private:
  using Times = std::vector<base::MonotonicTime>;

  struct Row {
    std::unordered_set<std::string> requests;
    // Invariant: both are in order.
    Times firsts;
    Times extras;
  };

  // How many of `times` are in [begin, end).
  static std::ptrdiff_t CountIn(const Times& times,
                                base::MonotonicTime begin,
                                base::MonotonicTime end);

  // By collection.
  std::map<std::string, Row> rows_;
};

}  // namespace medlarspread::emulator

#endif  // MEDLARSPREAD_EMULATOR_SUPPORT_ARRIVAL_RECORD_H_
