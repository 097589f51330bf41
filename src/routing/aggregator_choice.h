// Which daemons fan out the gather requests of others.
//
// A request to all shards costs a send a shard. From a failure domain without
// leaves each of them crosses to another domain, and on a small VM they take
// longer than the leaves' own work. Such a daemon hands the whole request to an
// aggregator: a daemon of its region that is near the leaves and has the
// processor for it. One request and one answer cross instead of one a shard.
//
// Pure and the same on every daemon that sees the same members and leaves, so
// roles need no agreement. Two daemons that see different ones for a while
// still serve: whoever gets a request fans it out.

#ifndef MEDLARSPREAD_ROUTING_AGGREGATOR_CHOICE_H_
#define MEDLARSPREAD_ROUTING_AGGREGATOR_CHOICE_H_

#include <string>
#include <vector>

#include "src/blackboard/views.h"
#include "src/routing/leaf_index.h"

namespace medlarspread::routing {

// Peers that one daemon hands requests to, at most: one to use and two for when
// it fails. It bounds the connections between daemons.
constexpr std::size_t kMostAggregatorsUsed = 3;

struct AggregatorChoice {
  // Whom this daemon hands requests to, in the order of preference; empty if it
  // fans them out itself.
  std::vector<blackboard::Member> peers;
  // Whether other daemons hand requests to this one.
  bool is_aggregator = false;
  // Aggregators in all regions. Daemons of a region without any fan out
  // themselves and are not counted.
  int aggregators = 0;
  // Daemons that hand requests over, in all regions.
  int entries = 0;
};

AggregatorChoice ChooseAggregators(const blackboard::MembershipView& membership,
                                   const LeafIndex& leaves,
                                   const std::vector<std::string>& shards);

}  // namespace medlarspread::routing

#endif  // MEDLARSPREAD_ROUTING_AGGREGATOR_CHOICE_H_
