// Chooses the region with the shortest expected delay among those that hold the
// shard.

#include "src/routing/router.h"

#include <utility>

namespace medlarspread::routing {

Router::Router(Policy policy,
               const blackboard::Blackboard& blackboard,
               std::shared_ptr<LoadTable> loads,
               IsSuspect is_suspect)
    : policy_(policy),
      blackboard_(blackboard),
      loads_(std::move(loads)),
      is_suspect_(std::move(is_suspect)) {}

std::shared_ptr<const ReplicaIndex> Router::IndexOf(
    const std::string& collection) {
  const auto view = blackboard_.upstreams.Read();
  const std::lock_guard lock(mutex_);
  auto& index = indexes_[collection];
  if (!index || index->view() != view) {
    index = std::make_shared<const ReplicaIndex>(view, collection);
  }
  return index;
}

std::shared_ptr<const std::vector<std::string>> Router::OwnersOf(
    const std::string& region,
    const std::string& owner_key) {
  const auto view = blackboard_.membership.Read();
  const std::lock_guard lock(mutex_);
  if (owners_view_ != view) {
    owners_.clear();
    owners_view_ = view;
  }
  auto& owners = owners_[owner_key];
  if (!owners) {
    owners = std::make_shared<const std::vector<std::string>>(
        RankOwners(policy_, *view, region, owner_key));
  }
  return owners;
}

std::optional<std::string> Router::PickOwner(const std::string& collection,
                                             const std::string& region,
                                             const ShardKey& shard,
                                             const Exclusions& exclusions) {
  const auto view = blackboard_.membership.Read();
  const auto ranked =
      OwnersOf(region, OwnerKey(policy_, collection, region, shard.range));
  // A suspect daemon is still better than none, so it is used as a fallback.
  std::optional<std::string> suspect;
  for (const std::string& name : *ranked) {
    if (exclusions.owners.contains(name)) {
      continue;
    }
    if (name == view->self || !is_suspect_(name)) {
      return name;
    }
    if (!suspect) {
      suspect = name;
    }
  }
  return suspect;
}

std::optional<Destination> Router::Choose(const std::string& collection,
                                          const std::string& class_name,
                                          const ShardKey& shard,
                                          const Exclusions& exclusions) {
  const auto index = IndexOf(collection);
  const auto view = blackboard_.membership.Read();
  const auto self = view->members.find(view->self);
  std::set<std::string> seen;
  std::optional<Destination> best;
  for (const auto* replica : index->ReplicasOf(shard)) {
    const std::string& region = replica->region;
    if (exclusions.regions.contains(region) || !seen.insert(region).second) {
      continue;
    }
    const auto owner = PickOwner(collection, region, shard, exclusions);
    if (!owner) {
      continue;
    }
    const bool is_own =
        self != view->members.end() && self->second.region == region;
    const base::Duration delay =
        loads_->NetworkTime(region, is_own) +
        loads_->ExpectedWait(collection, class_name, shard.range.low, region);
    if (!best || delay < best->expected_delay) {
      best = Destination{region, *owner, delay};
    }
  }
  return best;
}

}  // namespace medlarspread::routing
