// Summary of how requests ended at a leaf. It is shared with daemons that send
// to the leaf too rarely to measure this themselves.

#ifndef MEDLARSPREAD_ROUTING_LEAF_REPORT_H_
#define MEDLARSPREAD_ROUTING_LEAF_REPORT_H_

#include <string>

#include "src/base/clock.h"

namespace medlarspread::routing {

struct LeafReport {
  // Identifies one incarnation (process start) of the leaf.
  std::string leaf;
  std::string class_name;
  // Including failures.
  int replies = 0;
  int failures = 0;
  // Mean service time of the answers without the network time; zero if there
  // was no answer.
  base::Duration work{};

  friend bool operator==(const LeafReport&, const LeafReport&) = default;
};

}  // namespace medlarspread::routing

#endif  // MEDLARSPREAD_ROUTING_LEAF_REPORT_H_
