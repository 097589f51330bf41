// Chooses the daemons (aggregators) that fan out requests to all shards on
// behalf of other daemons.
//
// A request to all shards costs one send per shard. Sends to another failure
// domain cross the domain boundary one by one, and on a small VM all sends
// together take longer than the leaves' own work. The shards are therefore
// split by the failure domain of their leaves in the region, and each part is
// handed to an aggregator: a daemon in that domain with enough processor
// share. Only one request and one answer per part cross the boundary.
//
// The choice is a pure function of the members and the leaves, so daemons that
// see the same ones agree without coordination. Daemons whose views differ for
// a while still serve correctly: whichever daemon receives a part fans it out.

#ifndef MEDLARSPREAD_ROUTING_AGGREGATOR_CHOICE_H_
#define MEDLARSPREAD_ROUTING_AGGREGATOR_CHOICE_H_

#include <map>
#include <string>
#include <vector>

#include "src/admission/extra_send_budget.h"
#include "src/blackboard/views.h"
#include "src/routing/leaf_index.h"

namespace medlarspread::routing {

// Most peers that one daemon hands a part to: a primary and two fallbacks.
// Bounds the number of connections between daemons.
constexpr std::size_t kMaxAggregatorsUsed = 3;

struct AggregatorPart {
  std::vector<std::string> shards;
  // The peers to hand the part to, in order of preference; empty if this daemon
  // fans it out itself.
  std::vector<blackboard::Member> peers;
};

struct AggregatorChoice {
  // Every shard is in exactly one part.
  std::vector<AggregatorPart> parts;
  // By shard: the daemons that share its budget of extra sends and connections.
  std::map<std::string, admission::Senders> senders;
};

AggregatorChoice ChooseAggregators(const blackboard::MembershipView& membership,
                                   const LeafIndex& leaves,
                                   const std::vector<std::string>& shards);

}  // namespace medlarspread::routing

#endif  // MEDLARSPREAD_ROUTING_AGGREGATOR_CHOICE_H_
