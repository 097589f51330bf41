// Near domains, then the strongest daemons in them.

#include "src/routing/aggregator_choice.h"

#include <algorithm>
#include <map>
#include <set>

#include "src/base/rendezvous.h"

namespace medlarspread::routing {

namespace {

using blackboard::Member;
using blackboard::MembershipView;
using blackboard::UpstreamState;

// A failure domain is near if it holds a leaf of this part of the shards: then
// most sends stay inside it.
constexpr double kNearPart = 0.5;
// A daemon with this part of the strongest one's processor share still counts
// as strong: the work is shared by as many daemons as can bear it.
constexpr double kStrongPart = 0.5;

std::set<std::string> NearDomains(const LeafIndex& leaves,
                                  const std::vector<std::string>& shards) {
  std::map<std::string, std::size_t> shards_in;
  for (const std::string& shard : shards) {
    std::set<std::string> domains;
    for (const blackboard::Upstream* leaf : leaves.LeavesOf(shard)) {
      if (leaf->state != UpstreamState::kDraining &&
          leaf->state != UpstreamState::kUnreachable) {
        domains.insert(leaf->failure_domain);
      }
    }
    for (const std::string& domain : domains) {
      ++shards_in[domain];
    }
  }
  std::set<std::string> near;
  for (const auto& [domain, count] : shards_in) {
    if (static_cast<double>(count) >=
        kNearPart * static_cast<double>(shards.size())) {
      near.insert(domain);
    }
  }
  return near;
}

bool CanAggregate(const Member& member, const std::set<std::string>& near) {
  return !member.query_address.empty() && near.contains(member.failure_domain);
}

// The aggregators of each region, by name.
std::map<std::string, std::vector<std::string>> FindAll(
    const MembershipView& membership,
    const std::set<std::string>& near) {
  std::map<std::string, double> strongest;
  for (const auto& [name, member] : membership.members) {
    if (CanAggregate(member, near)) {
      double& best = strongest[member.region];
      best = std::max(best, member.processor_share);
    }
  }
  std::map<std::string, std::vector<std::string>> found;
  for (const auto& [name, member] : membership.members) {
    if (CanAggregate(member, near) &&
        member.processor_share >= kStrongPart * strongest[member.region]) {
      found[member.region].push_back(name);
    }
  }
  return found;
}

}  // namespace

AggregatorChoice ChooseAggregators(const MembershipView& membership,
                                   const LeafIndex& leaves,
                                   const std::vector<std::string>& shards) {
  AggregatorChoice choice;
  const auto self = membership.members.find(membership.self);
  if (self == membership.members.end()) {
    return choice;
  }
  auto all = FindAll(membership, NearDomains(leaves, shards));
  for (const auto& [name, member] : membership.members) {
    const auto region = all.find(member.region);
    if (region == all.end()) {
      continue;
    }
    const bool is_aggregator =
        std::binary_search(region->second.begin(), region->second.end(), name);
    ++(is_aggregator ? choice.aggregators : choice.entries);
    choice.is_aggregator |= is_aggregator && name == membership.self;
  }
  const auto region = all.find(self->second.region);
  if (choice.is_aggregator || region == all.end()) {
    return choice;
  }
  for (const std::string& name :
       base::RankByRendezvous(membership.self, region->second)) {
    if (choice.peers.size() < kMostAggregatorsUsed) {
      choice.peers.push_back(membership.members.at(name));
    }
  }
  return choice;
}

}  // namespace medlarspread::routing
