// Distributes the requests of a weighted route over its collections by smooth
// weighted round robin.
//
// Each request adds every collection's weight to its credit and goes to the
// collection with the highest credit. After any number of requests each
// collection has had its share to within one request, where a random choice
// would be off by about 3 in 100 after 300 requests. A collection without
// capacity keeps its share: its requests are refused, not moved to another
// collection.

#ifndef MEDLARSPREAD_ROUTING_WEIGHTED_ROUND_ROBIN_H_
#define MEDLARSPREAD_ROUTING_WEIGHTED_ROUND_ROBIN_H_

#include <map>
#include <string>

#include "src/blackboard/views.h"

namespace medlarspread::routing {

class WeightedRoundRobin {
 public:
  // The collection for the next request of `route`; empty if every weight is
  // zero.
  std::string Next(const std::string& route,
                   const blackboard::WeightedCollections& collections);

 private:
  struct Row {
    blackboard::WeightedCollections collections;
    std::map<std::string, double> credit;
  };

  std::map<std::string, Row> rows_;
};

}  // namespace medlarspread::routing

#endif  // MEDLARSPREAD_ROUTING_WEIGHTED_ROUND_ROBIN_H_
