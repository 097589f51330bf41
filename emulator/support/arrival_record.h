// Records the arrivals of requests at leaves and checks them against the bound
// on extra sends, which are the sends after the first of each request.
//
// Every arrival counts, regardless of its sender and the budget that it was
// charged to, also if the leaf rejects it or it was meant for another leaf:
// leaves can't see the senders' accounting.

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
  // Records that a request reached a leaf of the collection. Calls must be in
  // chronological order. Returns true if it is the first arrival of the request
  // at the collection.
  bool DidArrive(const std::string& request_id,
                 const std::string& collection,
                 base::MonotonicTime at);

  // Describes, for each collection that exceeds the bound, the window with the
  // largest excess. A window may begin at any arrival. Its number of requests
  // is the maximum of the arrivals in it, in the preceding window and in the
  // window that starts half a window earlier.
  std::vector<std::string> FindExcess(
      const admission::ExtraSendBound& bound) const;

 private:
  using Times = std::vector<base::MonotonicTime>;

  struct Row {
    std::unordered_set<std::string> requests;
    // Invariant: both are sorted.
    Times firsts;
    Times extras;
  };

  // Returns the number of `times` in [begin, end).
  static std::ptrdiff_t CountIn(const Times& times,
                                base::MonotonicTime begin,
                                base::MonotonicTime end);

  // By collection.
  std::map<std::string, Row> rows_;
};

}  // namespace medlarspread::emulator

#endif  // MEDLARSPREAD_EMULATOR_SUPPORT_ARRIVAL_RECORD_H_
