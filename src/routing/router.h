// Chooses for a shard the region whose leaves are likely to answer first, and
// the daemon there that owns its queue.

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

// Where to ask for a shard.
struct Destination {
  std::string region;
  std::string owner;
  // Until the answer is there, without the leaf's own time.
  base::Duration expected_delay{};
};

// Regions and daemons that have failed a request already.
struct Exclusions {
  std::set<std::string> regions;
  std::set<std::string> owners;
};

// Safe to use from any thread.
class Router {
 public:
  using IsSuspect = std::function<bool(const std::string& peer)>;

  // `is_suspect` says of a daemon that it owes replies and has gone silent.
  Router(Policy policy,
         const blackboard::Blackboard& blackboard,
         std::shared_ptr<LoadTable> loads,
         IsSuspect is_suspect);

  // Nothing if no region that is left has both a replica and a live daemon.
  std::optional<Destination> Choose(const std::string& collection,
                                    const std::string& class_name,
                                    const ShardKey& shard,
                                    const Exclusions& exclusions);

  // The replicas by shard of `collection`, from the latest view.
  std::shared_ptr<const ReplicaIndex> IndexOf(const std::string& collection);

  const std::shared_ptr<LoadTable>& loads() const { return loads_; }

 private:
  std::optional<std::string> PickOwner(const std::string& collection,
                                       const std::string& region,
                                       const ShardKey& shard,
                                       const Exclusions& exclusions);
  // The ranking from the cache, which lasts as long as the membership view:
  // ranking 1,500 daemons for each of 200 shards would dominate a query.
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
