// Chooses the region whose leaves are expected to answer first for a shard, and
// the daemon there that owns the shard's queue.

#ifndef MEDLARSPREAD_ROUTING_ROUTER_H_
#define MEDLARSPREAD_ROUTING_ROUTER_H_

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "src/base/clock.h"
#include "src/blackboard/blackboard.h"
#include "src/routing/load_table.h"
#include "src/routing/policy.h"
#include "src/routing/replica_index.h"
#include "src/routing/shard_request.h"

namespace medlarspread::routing {

// Where to send the request for a shard.
struct Destination {
  std::string region;
  std::string owner;
  // Expected time until the answer, without the leaf's service time.
  base::Duration expected_delay{};
};

// Regions and daemons at which the request has already failed.
struct Exclusions {
  std::set<std::string> regions;
  std::set<std::string> owners;
};

// Safe to use from any thread.
class Router {
 public:
  using IsSuspect = std::function<bool(const std::string& peer)>;

  // `is_suspect` tells whether a daemon has replies outstanding and has sent
  // nothing recently.
  Router(Policy policy,
         const blackboard::Blackboard& blackboard,
         std::shared_ptr<LoadTable> loads,
         IsSuspect is_suspect);

  // Nothing if no remaining region has both a replica and a live daemon.
  std::optional<Destination> Choose(const std::string& collection,
                                    const std::string& class_name,
                                    const ShardKey& shard,
                                    const Exclusions& exclusions);

  // The replicas of `collection` by shard, from the latest view.
  std::shared_ptr<const ReplicaIndex> IndexOf(const std::string& collection);

  const std::shared_ptr<LoadTable>& loads() const { return loads_; }

 private:
  std::optional<std::string> PickOwner(const std::string& collection,
                                       const std::string& region,
                                       const ShardKey& shard,
                                       const Exclusions& exclusions);
  // The ranking of owners, cached as long as the membership view is unchanged:
  // ranking 1,500 daemons for each of 200 shards would dominate the cost of a
  // query.
  std::shared_ptr<const std::vector<std::string>> OwnersOf(
      const std::string& region,
      const std::string& owner_key);

  const Policy policy_;
  const blackboard::Blackboard& blackboard_;
  const std::shared_ptr<LoadTable> loads_;
  const IsSuspect is_suspect_;
  std::mutex mutex_;
  // By collection; replaced when the view changes.
  std::map<std::string, std::shared_ptr<const ReplicaIndex>> indexes_;
  // By owner key; emptied when the view changes.
  std::map<std::string, std::shared_ptr<const std::vector<std::string>>>
      owners_;
  std::shared_ptr<const blackboard::MembershipView> owners_view_;
};

}  // namespace medlarspread::routing

#endif  // MEDLARSPREAD_ROUTING_ROUTER_H_
