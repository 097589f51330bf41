// The ways in which work can wait for a leaf. kQueueOwner is the product's way;
// the other two are baselines that the benchmarks measure it against.

#ifndef MEDLARSPREAD_ROUTING_POLICY_H_
#define MEDLARSPREAD_ROUTING_POLICY_H_

#include <string>
#include <variant>
#include <vector>

#include "src/admission/urgency_queue.h"
#include "src/blackboard/views.h"

namespace medlarspread::routing {

// One daemon per bundle and region holds the queue for the leaves there.
struct QueueOwnerPolicy {
  // Into how many bundles the key space of a collection is cut.
  int bundles = 8;
};

// Every daemon has a fixed share of one request in flight at each leaf and
// queues the rest for itself.
struct FixedSharePolicy {};

// Every daemon sends at once to a random replica; the queue is at the leaf.
struct RandomReplicaPolicy {};

using Policy =
    std::variant<QueueOwnerPolicy, FixedSharePolicy, RandomReplicaPolicy>;

// Ranges of one collection and region that share this key share their owners.
std::string OwnerKey(const Policy& policy,
                     const std::string& collection,
                     const std::string& region,
                     blackboard::KeyRange range);

// The daemons of `region` that may hold the queues of `owner_key`, best first;
// empty if no daemon of that region is live.
std::vector<std::string> RankOwners(const Policy& policy,
                                    const blackboard::MembershipView& view,
                                    const std::string& region,
                                    const std::string& owner_key);

// Whether the daemon `self` may send to `upstream`.
bool MaySendTo(const Policy& policy,
               const blackboard::MembershipView& view,
               const blackboard::Upstream& upstream);

// Requests that a queue owner keeps at a leaf beyond its slots, so that a slot
// that becomes free has work at once and not only after a round trip.
constexpr int kInPipe = 1;

// How many requests the daemon may keep in flight at a leaf at the most.
int InFlightLimit(const Policy& policy, const blackboard::Upstream& upstream);

// The order in which queued requests get a free place.
admission::UrgencyOrder OrderOf(const Policy& policy);

// Whether entries are told how long requests wait, to refuse some at once.
bool HasEntryGate(const Policy& policy);

// Whether a late shard is asked of a second replica.
bool HasSecondSends(const Policy& policy);

}  // namespace medlarspread::routing

#endif  // MEDLARSPREAD_ROUTING_POLICY_H_
