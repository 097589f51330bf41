// Reports that wait to be sent, merged by leaf and class of work.

#ifndef MEDLARSPREAD_GOSSIP_REPORT_MERGE_H_
#define MEDLARSPREAD_GOSSIP_REPORT_MERGE_H_

#include <cstddef>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "src/routing/leaf_report.h"

namespace medlarspread::gossip {

// Pure bookkeeping; calls come from one sequence.
class ReportMerge {
 public:
  // Reports beyond a bound are left out: what is told once more a moment later
  // is worth more than a queue of old ones.
  void Add(const routing::LeafReport& report);
  // Takes up to `most` out, those with failures first.
  std::vector<routing::LeafReport> Take(std::size_t max_count);
  bool is_empty() const { return rows_.empty(); }

 private:
  // By leaf and class.
  std::map<std::pair<std::string, std::string>, routing::LeafReport> rows_;
};

}  // namespace medlarspread::gossip

#endif  // MEDLARSPREAD_GOSSIP_REPORT_MERGE_H_
