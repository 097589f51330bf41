// Queueing policies: where requests wait for a leaf. QueueOwnerPolicy is used
// in production; the other two are baselines for the benchmarks.

#ifndef MEDLARSPREAD_ROUTING_POLICY_H_
#define MEDLARSPREAD_ROUTING_POLICY_H_

#include <string>
#include <variant>
#include <vector>

#include "src/admission/urgency_queue.h"
#include "src/blackboard/views.h"

namespace medlarspread::routing {

// One daemon per bundle and region owns the queues for the leaves there. A
// bundle is a contiguous part of a collection's key space.
struct QueueOwnerPolicy {
  // Number of bundles that the key space of a collection is divided into.
  int bundles = 8;
};

// Every daemon may have one request in flight at each leaf and queues the rest
// locally.
struct FixedSharePolicy {};

// Every daemon sends immediately to a random replica; requests queue at the
// leaf.
struct RandomReplicaPolicy {};

using Policy =
    std::variant<QueueOwnerPolicy, FixedSharePolicy, RandomReplicaPolicy>;

// Key that identifies a bundle in a region. Ranges with the same key have the
// same queue owners.
std::string OwnerKey(const Policy& policy,
                     const std::string& collection,
                     const std::string& region,
                     blackboard::KeyRange range);

// The daemons of `region` that may own the queues of `owner_key`, in order of
// preference; empty if no daemon of that region is live.
std::vector<std::string> RankOwners(const Policy& policy,
                                    const blackboard::MembershipView& view,
                                    const std::string& region,
                                    const std::string& owner_key);

// Whether the daemon `self` may send to `upstream`.
bool MaySendTo(const Policy& policy,
               const blackboard::MembershipView& view,
               const blackboard::Upstream& upstream);

// Requests that a queue owner keeps in flight at a leaf beyond its slots, so
// that a freed slot has work immediately and not only after a round trip.
constexpr int kPipelinedRequests = 1;

// Most requests that the daemon may keep in flight at a leaf.
int InFlightLimit(const Policy& policy, const blackboard::Upstream& upstream);

// The order in which queued requests are sent.
admission::UrgencyOrder OrderOf(const Policy& policy);

// Whether expected waits are reported to the daemons that receive requests from
// callers, so that these can refuse requests early.
bool HasEntryGate(const Policy& policy);

// Whether late requests are also sent to a second replica.
bool HasSecondSends(const Policy& policy);

}  // namespace medlarspread::routing

#endif  // MEDLARSPREAD_ROUTING_POLICY_H_
