// Finds the failure domains that hold leaves, selects the daemons with the
// largest processor share in them, and splits the shards into parts.

#include "src/routing/aggregator_choice.h"

#include <algorithm>
#include <set>

#include "src/base/rendezvous.h"

namespace medlarspread::routing {

namespace {

using blackboard::Member;
using blackboard::MembershipView;
using blackboard::UpstreamState;

// A failure domain has aggregators only if it holds leaves of at least this
// share of the shards: handing over fewer costs more than it saves.
constexpr double kMinShardsShare = 0.2;
// A daemon is an aggregator if it has at least this fraction of the largest
// processor share in its failure domain, so that the work is spread over as
// many capable daemons as possible.
constexpr double kMinRelativeProcessorShare = 0.5;

// The failure domains that hold a leaf of each shard.
using DomainsOfShards = std::map<std::string, std::set<std::string>>;
// The aggregators of each failure domain, by name.
using Aggregators = std::map<std::string, std::vector<std::string>>;

DomainsOfShards FindDomains(const LeafIndex& leaves,
                            const std::vector<std::string>& shards) {
  DomainsOfShards found;
  for (const std::string& shard : shards) {
    std::set<std::string>& domains = found[shard];
    for (const blackboard::Upstream* leaf : leaves.LeavesOf(shard)) {
      if (leaf->state != UpstreamState::kDraining &&
          leaf->state != UpstreamState::kUnreachable) {
        domains.insert(leaf->failure_domain);
      }
    }
  }
  return found;
}

std::set<std::string> DomainsWithEnoughShards(
    const DomainsOfShards& domains_of) {
  std::map<std::string, std::size_t> shards_in;
  for (const auto& [shard, domains] : domains_of) {
    for (const std::string& domain : domains) {
      ++shards_in[domain];
    }
  }
  std::set<std::string> enough;
  for (const auto& [domain, count] : shards_in) {
    if (static_cast<double>(count) >=
        kMinShardsShare * static_cast<double>(domains_of.size())) {
      enough.insert(domain);
    }
  }
  return enough;
}

Aggregators FindAggregators(const MembershipView& membership,
                            const std::set<std::string>& domains) {
  std::map<std::string, double> strongest;
  const auto can_aggregate = [&](const Member& member) {
    return !member.query_address.empty() &&
           domains.contains(member.failure_domain);
  };
  for (const auto& [name, member] : membership.members) {
    if (can_aggregate(member)) {
      double& best = strongest[member.failure_domain];
      best = std::max(best, member.processor_share);
    }
  }
  Aggregators found;
  for (const auto& [name, member] : membership.members) {
    if (can_aggregate(member) &&
        member.processor_share >=
            kMinRelativeProcessorShare * strongest[member.failure_domain]) {
      found[member.failure_domain].push_back(name);
    }
  }
  return found;
}

bool Contains(const std::vector<std::string>& names, const std::string& name) {
  return std::find(names.begin(), names.end(), name) != names.end();
}

// The failure domain in `self`'s region whose aggregators take the shard;
// `self`'s own domain is preferred if it has a leaf of the shard. Empty if no
// domain in the region has one.
std::string DomainForShard(const std::set<std::string>& domains,
                           const Aggregators& aggregators,
                           const MembershipView& membership,
                           const Member& self) {
  std::string chosen;
  for (const std::string& domain : domains) {
    const auto row = aggregators.find(domain);
    const bool is_in_region =
        row != aggregators.end() &&
        membership.members.at(row->second.front()).region == self.region;
    if (is_in_region && (chosen.empty() || domain == self.failure_domain)) {
      chosen = domain;
    }
  }
  return chosen;
}

std::map<std::string, std::vector<std::string>> GroupByDomain(
    const std::vector<std::string>& shards,
    const DomainsOfShards& domains_of,
    const Aggregators& aggregators,
    const MembershipView& membership,
    const Member& self) {
  std::map<std::string, std::vector<std::string>> groups;
  std::vector<std::string> unassigned;
  for (const std::string& shard : shards) {
    const std::string domain =
        DomainForShard(domains_of.at(shard), aggregators, membership, self);
    (domain.empty() ? unassigned : groups[domain]).push_back(shard);
  }
  if (groups.empty()) {
    groups[self.failure_domain] = std::move(unassigned);
    return groups;
  }
  const auto largest = std::max_element(
      groups.begin(), groups.end(), [](const auto& left, const auto& right) {
        return left.second.size() < right.second.size();
      });
  largest->second.insert(largest->second.end(), unassigned.begin(),
                         unassigned.end());
  return groups;
}

std::vector<Member> PeersFor(const std::string& domain,
                             const Aggregators& aggregators,
                             const MembershipView& membership) {
  std::vector<Member> peers;
  const auto row = aggregators.find(domain);
  if (row == aggregators.end() || Contains(row->second, membership.self)) {
    return peers;
  }
  for (const std::string& name :
       base::RankByRendezvous(membership.self, row->second)) {
    if (peers.size() < kMaxAggregatorsUsed) {
      peers.push_back(membership.members.at(name));
    }
  }
  return peers;
}

// Whether any daemon is not an aggregator and thus hands its requests over.
bool HasNonAggregators(const MembershipView& membership,
                       const Aggregators& aggregators) {
  return std::any_of(
      membership.members.begin(), membership.members.end(),
      [&](const auto& row) {
        const auto own = aggregators.find(row.second.failure_domain);
        return own == aggregators.end() || !Contains(own->second, row.first);
      });
}

// The failure domains whose aggregators send to the shard: in each region those
// that hold a leaf of the shard, or all if none does.
std::set<std::string> DomainsThatSend(const std::set<std::string>& domains,
                                      const Aggregators& aggregators,
                                      const MembershipView& membership) {
  std::map<std::string, std::set<std::string>> with_leaf;
  std::map<std::string, std::set<std::string>> all;
  for (const auto& [domain, names] : aggregators) {
    const std::string& region = membership.members.at(names.front()).region;
    all[region].insert(domain);
    if (domains.contains(domain)) {
      with_leaf[region].insert(domain);
    }
  }
  std::set<std::string> senders;
  for (const auto& [region, everywhere] : all) {
    const auto near = with_leaf.find(region);
    const auto& chosen = near == with_leaf.end() ? everywhere : near->second;
    senders.insert(chosen.begin(), chosen.end());
  }
  return senders;
}

admission::Senders SendersOf(const std::set<std::string>& domains,
                             const Aggregators& aggregators,
                             const MembershipView& membership) {
  admission::Senders senders;
  senders.daemons = static_cast<int>(membership.members.size());
  for (const std::string& domain :
       DomainsThatSend(domains, aggregators, membership)) {
    const auto& names = aggregators.at(domain);
    senders.aggregators += static_cast<int>(names.size());
    senders.is_aggregator |= Contains(names, membership.self);
  }
  return senders;
}

}  // namespace

AggregatorChoice ChooseAggregators(const MembershipView& membership,
                                   const LeafIndex& leaves,
                                   const std::vector<std::string>& shards) {
  AggregatorChoice choice;
  const auto self = membership.members.find(membership.self);
  if (self == membership.members.end()) {
    choice.parts.push_back({shards, {}});
    return choice;
  }
  const DomainsOfShards domains_of = FindDomains(leaves, shards);
  const Aggregators aggregators =
      FindAggregators(membership, DomainsWithEnoughShards(domains_of));
  for (auto& [domain, group] : GroupByDomain(shards, domains_of, aggregators,
                                             membership, self->second)) {
    choice.parts.push_back(
        {std::move(group), PeersFor(domain, aggregators, membership)});
  }
  if (!HasNonAggregators(membership, aggregators)) {
    return choice;
  }
  for (const auto& [shard, domains] : domains_of) {
    choice.senders[shard] = SendersOf(domains, aggregators, membership);
  }
  return choice;
}

}  // namespace medlarspread::routing
