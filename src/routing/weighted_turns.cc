// Smooth weighted round robin.

#include "src/routing/weighted_turns.h"

namespace medlarspread::routing {

std::string WeightedTurns::Take(
    const std::string& route,
    const blackboard::WeightedCollections& collections) {
  Row& row = rows_[route];
  if (row.collections != collections) {
    row = Row{collections, {}};
  }
  double total = 0.0;
  const std::string* most_owed = nullptr;
  for (const auto& part : collections.parts) {
    if (part.weight <= 0.0) {
      continue;
    }
    total += part.weight;
    double& owed = row.owed[part.collection];
    owed += part.weight;
    if (most_owed == nullptr || owed > row.owed[*most_owed]) {
      most_owed = &part.collection;
    }
  }
  if (most_owed == nullptr) {
    return "";
  }
  row.owed[*most_owed] -= total;
  return *most_owed;
}

}  // namespace medlarspread::routing
