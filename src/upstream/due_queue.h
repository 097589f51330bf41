// A priority queue of names by due time. It tells which of thousands of leaves
// to process next without a timer for each. Not thread-safe.

#ifndef MEDLARSPREAD_UPSTREAM_DUE_QUEUE_H_
#define MEDLARSPREAD_UPSTREAM_DUE_QUEUE_H_

#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "src/base/clock.h"

namespace medlarspread::upstream {

class DueQueue {
 public:
  // Adds the name, or changes its due time if it is already queued.
  void Set(const std::string& name, base::MonotonicTime due);
  void Remove(const std::string& name);

  // The earliest due time, if the queue is not empty.
  std::optional<base::MonotonicTime> NextDue() const;
  // Removes and returns the first name if it is due.
  std::optional<std::string> TakeDue(base::MonotonicTime now);
  std::vector<std::string> Names() const;

 private:
  // Invariant: both hold the same pairs.
  std::set<std::pair<base::MonotonicTime, std::string>> by_time_;
  std::map<std::string, base::MonotonicTime> by_name_;
};

}  // namespace medlarspread::upstream

#endif  // MEDLARSPREAD_UPSTREAM_DUE_QUEUE_H_
