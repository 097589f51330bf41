// Which daemons fan out the requests to all shards of others.
//
// Such a request costs a send a shard. Those to leaves of another failure
// domain cross to it one by one, and on a small VM all of them together take
// longer than the leaves' own work. So the shards are split by the failure
// domain of their leaves in the region, and each part is handed to an
// aggregator: a daemon in that domain that has the processor for it. One
// request and one answer cross for a whole part.
//
// Pure and the same on every daemon that sees the same members and leaves, so
// roles need no agreement. Daemons that see different ones for a while still
// serve: whoever gets a part fans it out.

#ifndef MEDLARSPREAD_ROUTING_AGGREGATOR_CHOICE_H_
#define MEDLARSPREAD_ROUTING_AGGREGATOR_CHOICE_H_

#include <map>
#include <string>
#include <vector>

#include "src/admission/extra_send_budget.h"
#include "src/blackboard/views.h"
#include "src/routing/leaf_index.h"

namespace medlarspread::routing {

// Peers that one daemon hands a part to, at most: one to use and two for when
// it fails. It bounds the connections between daemons.
constexpr std::size_t kMostAggregatorsUsed = 3;

struct AggregatorPart {
  std::vector<std::string> shards;
  // Whom this daemon hands the part to, in the order of preference; empty if it
  // fans it out itself.
  std::vector<blackboard::Member> peers;
};

struct AggregatorChoice {
  // Every shard is in exactly one part.
  std::vector<AggregatorPart> parts;
  // By shard: among whom its extra sends and connections are shared out.
  std::map<std::string, admission::Senders> senders;
};

AggregatorChoice ChooseAggregators(const blackboard::MembershipView& membership,
                                   const LeafIndex& leaves,
                                   const std::vector<std::string>& shards);

}  // namespace medlarspread::routing

#endif  // MEDLARSPREAD_ROUTING_AGGREGATOR_CHOICE_H_
