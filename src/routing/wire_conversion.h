// Converts shard requests and results to and from messages on the peer links.
// Points in time are sent as remaining durations, since the clocks of two VMs
// may differ.

#ifndef MEDLARSPREAD_ROUTING_WIRE_CONVERSION_H_
#define MEDLARSPREAD_ROUTING_WIRE_CONVERSION_H_

#include <cstdint>
#include <optional>
#include <vector>

#include "src/base/clock.h"
#include "src/blackboard/views.h"
#include "src/peer/gen/peer_types.h"
#include "src/routing/shard_request.h"

namespace medlarspread::routing {

peer::wire::KeyRange ToWire(const blackboard::KeyRange& range);
blackboard::KeyRange FromWire(const peer::wire::KeyRange& range);
peer::wire::Snapshot ToWire(const blackboard::Snapshot& snapshot);
blackboard::Snapshot FromWire(const peer::wire::Snapshot& snapshot);

peer::wire::SubQuery ToWire(std::uint64_t id,
                            const ShardRequest& common,
                            const std::vector<blackboard::KeyRange>& ranges,
                            base::MonotonicTime now);
// The shard requests of a message, one per range; empty if a range is invalid.
std::vector<ShardRequest> FromWire(const peer::wire::SubQuery& message,
                                   base::MonotonicTime now);

peer::wire::ShardReply ToWire(std::uint64_t id,
                              const ShardRequest& request,
                              const ShardResult& result);
// Nothing if the outcome is not a value of ShardOutcome.
std::optional<ShardResult> FromWire(const peer::wire::ShardReply& reply);

}  // namespace medlarspread::routing

#endif  // MEDLARSPREAD_ROUTING_WIRE_CONVERSION_H_
