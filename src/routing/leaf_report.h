// How requests ended at a leaf, for daemons that send there too seldom to find
// out themselves.

#ifndef MEDLARSPREAD_ROUTING_LEAF_REPORT_H_
#define MEDLARSPREAD_ROUTING_LEAF_REPORT_H_

#include <string>

#include "src/base/clock.h"

namespace medlarspread::routing {

struct LeafReport {
  // The name of one start of the leaf.
  std::string leaf;
  std::string class_name;
  // Failures included.
  int replies = 0;
  int failures = 0;
  // What the answers took at the leaf, the way there left out, on average; zero
  // without an answer.
  base::Duration work{};

  friend bool operator==(const LeafReport&, const LeafReport&) = default;
};

}  // namespace medlarspread::routing

#endif  // MEDLARSPREAD_ROUTING_LEAF_REPORT_H_
