// Caches the aggregator choice of each route until the members or the leaves
// change, because computing it costs as much as several sends.
//
// Not thread-safe; used on the traffic thread.

#ifndef MEDLARSPREAD_ROUTING_AGGREGATOR_TABLE_H_
#define MEDLARSPREAD_ROUTING_AGGREGATOR_TABLE_H_

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "src/blackboard/views.h"
#include "src/routing/aggregator_choice.h"
#include "src/routing/leaf_index.h"

namespace medlarspread::routing {

class AggregatorTable {
 public:
  using Membership = std::shared_ptr<const blackboard::MembershipView>;
  using Leaves = std::shared_ptr<const LeafIndex>;

  // The returned reference is valid until the next call.
  const AggregatorChoice& For(const std::vector<std::string>& shards,
                              const Membership& membership,
                              const Leaves& leaves) {
    if (membership != membership_ || leaves != leaves_) {
      membership_ = membership;
      leaves_ = leaves;
      choices_.clear();
    }
    const auto row = choices_.find(shards);
    if (row != choices_.end()) {
      return row->second;
    }
    return choices_
        .emplace(shards, ChooseAggregators(*membership, *leaves, shards))
        .first->second;
  }

 private:
  // The views that `choices_` was computed from.
  Membership membership_;
  Leaves leaves_;
  // By the shards of a route.
  std::map<std::vector<std::string>, AggregatorChoice> choices_;
};

}  // namespace medlarspread::routing

#endif  // MEDLARSPREAD_ROUTING_AGGREGATOR_TABLE_H_
