// A queue of leaf reports, merged by leaf and class of work.

#ifndef MEDLARSPREAD_GOSSIP_REPORT_MERGE_H_
#define MEDLARSPREAD_GOSSIP_REPORT_MERGE_H_

#include <cstddef>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "src/routing/leaf_report.h"

namespace medlarspread::gossip {

// Bookkeeping only; not thread-safe.
class ReportMerge {
 public:
  // Reports beyond a bound are dropped: a fresh report a moment later is worth
  // more than a queue of old ones.
  void Add(const routing::LeafReport& report);
  // Removes and returns up to `max_count` reports, those with failures first.
  std::vector<routing::LeafReport> Take(std::size_t max_count);
  bool is_empty() const { return rows_.empty(); }

 private:
  // By leaf and class.
  std::map<std::pair<std::string, std::string>, routing::LeafReport> rows_;
};

}  // namespace medlarspread::gossip

#endif  // MEDLARSPREAD_GOSSIP_REPORT_MERGE_H_
