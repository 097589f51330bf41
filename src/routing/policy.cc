// Properties of the queueing policies.

#include "src/routing/policy.h"

#include <limits>

#include "src/base/overloaded.h"
#include "src/base/rendezvous.h"

namespace medlarspread::routing {

namespace {

using blackboard::MembershipView;
using blackboard::MemberState;

std::vector<std::string> LiveMembersOf(const MembershipView& view,
                                       const std::string& region) {
  std::vector<std::string> names;
  for (const auto& [name, member] : view.members) {
    if (member.region == region && member.state == MemberState::kLive) {
      names.push_back(name);
    }
  }
  return names;
}

std::string RegionOfSelf(const MembershipView& view) {
  const auto self = view.members.find(view.self);
  return self == view.members.end() ? std::string() : self->second.region;
}

}  // namespace

std::string OwnerKey(const Policy& policy,
                     const std::string& collection,
                     const std::string& region,
                     blackboard::KeyRange range) {
  const auto* owner_policy = std::get_if<QueueOwnerPolicy>(&policy);
  const int bundles = owner_policy == nullptr ? 1 : owner_policy->bundles;
  // NOTE: the bundle depends on the range alone, so that the parts of a shard
  // that is split by a repartition keep their owner where possible.
  const auto bundle =
      static_cast<std::int64_t>(range.low) * bundles / blackboard::kKeySpace;
  return collection + "/" + region + "/" + std::to_string(bundle);
}

std::vector<std::string> RankOwners(const Policy& policy,
                                    const MembershipView& view,
                                    const std::string& region,
                                    const std::string& owner_key) {
  if (!std::holds_alternative<QueueOwnerPolicy>(policy)) {
    return {view.self};
  }
  return base::RankByRendezvous(owner_key, LiveMembersOf(view, region));
}

bool MaySendTo(const Policy& policy,
               const MembershipView& view,
               const blackboard::Upstream& upstream) {
  return std::visit(base::Overloaded{
                        [&](const QueueOwnerPolicy&) {
                          return upstream.region == RegionOfSelf(view);
                        },
                        [](const FixedSharePolicy&) { return true; },
                        [](const RandomReplicaPolicy&) { return true; },
                    },
                    policy);
}

int InFlightLimit(const Policy& policy, const blackboard::Upstream& upstream) {
  return std::visit(base::Overloaded{
                        [&](const QueueOwnerPolicy&) {
                          return upstream.slots + kPipelinedRequests;
                        },
                        [](const FixedSharePolicy&) { return 1; },
                        [](const RandomReplicaPolicy&) {
                          return std::numeric_limits<int>::max();
                        },
                    },
                    policy);
}

admission::UrgencyOrder OrderOf(const Policy& policy) {
  return std::holds_alternative<QueueOwnerPolicy>(policy)
             ? admission::UrgencyOrder::kClassSlack
             : admission::UrgencyOrder::kArrival;
}

bool HasEntryGate(const Policy& policy) {
  return std::holds_alternative<QueueOwnerPolicy>(policy);
}

bool HasSecondSends(const Policy& policy) {
  return std::holds_alternative<QueueOwnerPolicy>(policy);
}

}  // namespace medlarspread::routing
