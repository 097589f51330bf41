// Deals the requests of a weighted route out to its collections.
//
// Each collection gains its weight with every request, and the one that is
// owed most takes it (smooth weighted round robin). After n requests each
// part has had its share to within one request, where a random choice would
// be off by some 3 in 100 after 300 requests. A part that is short of room
// keeps its share: its requests are refused, not moved to another part.

#ifndef MEDLARSPREAD_ROUTING_WEIGHTED_TURNS_H_
#define MEDLARSPREAD_ROUTING_WEIGHTED_TURNS_H_

#include <map>
#include <string>

#include "src/blackboard/views.h"

namespace medlarspread::routing {

class WeightedTurns {
 public:
  // The collection that takes the next request of `route`; empty if every
  // weight is zero.
  std::string Take(const std::string& route,
                   const blackboard::WeightedCollections& collections);

 private:
  struct Row {
    blackboard::WeightedCollections collections;
    std::map<std::string, double> owed;
  };

  std::map<std::string, Row> rows_;
};

}  // namespace medlarspread::routing

#endif  // MEDLARSPREAD_ROUTING_WEIGHTED_TURNS_H_
