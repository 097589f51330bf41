// Smooth weighted round robin.

#include "src/routing/weighted_round_robin.h"

namespace medlarspread::routing {

std::string WeightedRoundRobin::Next(
    const std::string& route,
    const blackboard::WeightedCollections& collections) {
  Row& row = rows_[route];
  if (row.collections != collections) {
    row = Row{collections, {}};
  }
  double total = 0.0;
  const std::string* highest = nullptr;
  for (const auto& part : collections.parts) {
    if (part.weight <= 0.0) {
      continue;
    }
    total += part.weight;
    double& credit = row.credit[part.collection];
    credit += part.weight;
    if (highest == nullptr || credit > row.credit[*highest]) {
      highest = &part.collection;
    }
  }
  if (highest == nullptr) {
    return "";
  }
  row.credit[*highest] -= total;
  return *highest;
}

}  // namespace medlarspread::routing
