// What a virtual fleet consists of and what befalls it, as plain data.

#ifndef MEDLARSPREAD_EMULATOR_FLEET_FLEET_PLAN_H_
#define MEDLARSPREAD_EMULATOR_FLEET_FLEET_PLAN_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "src/admission/extra_send_budget.h"
#include "src/base/ablation.h"
#include "src/base/clock.h"
#include "src/base/name_table.h"

namespace medlarspread::emulator {

// One-way delays.
struct LinkDelays {
  base::Duration in_domain = base::Milliseconds(0);
  // Of one region.
  base::Duration between_domains = base::Duration(500);
  base::Duration between_regions = base::Milliseconds(20);
  base::Duration to_callers = base::Milliseconds(1);
};

// The leaves of one kind: each collection has one in each region.
struct LeafPlan {
  int slots = 3;
  // Requests that wait for a slot; more are refused.
  int queue = 18;
  // Connections from all daemons together.
  int connections = 31;
  // Beside the way there and back.
  base::Duration connect_time = base::Milliseconds(6);
  // After this time a leaf notices that the daemon at the other end of an idle
  // connection is gone.
  base::Duration idle_timeout = base::Milliseconds(5'000);
  // Every leaf stands still for a moment now and then, each at its own time.
  base::Duration pause = base::Milliseconds(250);
  base::Duration pause_interval = base::Milliseconds(6'000);
};

// One class of work.
struct ClassPlan {
  std::string name;
  // 1 for requests to one collection; otherwise the first so many collections
  // are its shards.
  int shards = 1;
  // Where requests to one collection go; the first collection if it is empty.
  std::string collection;
  double coverage = 1.0;
  bool is_idempotent = true;
  int most_attempts = 3;
  // Over all daemons.
  double requests_per_second = 100.0;
  // At a leaf.
  base::Duration mean_work = base::Milliseconds(15);
  // Standard deviation of the logarithm of the work.
  double work_spread = 0.35;
  base::Duration target = base::Milliseconds(200);
  base::Duration deadline = base::Milliseconds(1'200);
};

enum class TroubleKind {
  // Leaves work `strength` times as long.
  kSlow,
  // Leaves run a request and break its connection with this probability.
  kResets,
  // Leaves answer nothing.
  kDark,
  // Leaves refuse with this probability, as if they were full.
  kSheds,
  // All daemons lose power and are back at the end; leaves keep the
  // connections of the dead ones until they notice.
  kPowerLoss,
  // Callers send `strength` times as many requests.
  kBurst,
  // Daemons stand still: nothing reaches them or leaves them until the end.
  kFrozenDaemons,
  // The processes of leaves end, and are back at the end of the trouble.
  kCrash,
  // No datagram between daemons arrives.
  kNoDatagrams,
  // The store takes nothing and tells nothing.
  kStoreAway,
  // Nothing that daemons answer to other daemons arrives.
  kMuteDaemons,
  // Leaves end for good. At the end of the trouble a leaf of `tenant` starts at
  // the address of each. No daemon is told of either.
  kAddressReused,
};

inline constexpr base::NameTable<TroubleKind, 12> kTroubleKindNames{{{
    {TroubleKind::kSlow, "slow"},
    {TroubleKind::kResets, "resets"},
    {TroubleKind::kDark, "dark"},
    {TroubleKind::kSheds, "sheds"},
    {TroubleKind::kPowerLoss, "power_loss"},
    {TroubleKind::kBurst, "burst"},
    {TroubleKind::kFrozenDaemons, "frozen_daemons"},
    {TroubleKind::kCrash, "crash"},
    {TroubleKind::kNoDatagrams, "no_datagrams"},
    {TroubleKind::kStoreAway, "store_away"},
    {TroubleKind::kMuteDaemons, "mute_daemons"},
    {TroubleKind::kAddressReused, "address_reused"},
}}};

struct Trouble {
  TroubleKind kind = TroubleKind::kSlow;
  base::Duration begin{};
  base::Duration end{};
  double strength = 1.0;
  // Of the leaves, or of the daemons; which ones is drawn from the seed.
  double share = 1.0;
  // Only leaves of this collection; all if it is empty.
  std::string collection;
  // Of kAddressReused.
  std::string tenant = {};
};

// A request that ends every leaf that runs it. A caller sends it, and once more
// if it fails, at any daemon; again and again.
struct DeadlyRequest {
  std::string class_name;
  base::Duration first{};
  base::Duration gap = base::Milliseconds(4'000);
  int times = 10;
  // From the start of a run to the end of its leaf.
  base::Duration crash_after = base::Milliseconds(10);
  // How long a leaf is down.
  base::Duration down = base::Milliseconds(2'500);
};

struct FleetPlan {
  int regions = 3;
  // The daemons of a region are dealt out over its failure domains in turn.
  int domains_per_region = 1;
  int daemons_per_region = 3;
  // Of each failure domain: the daemons on strong VMs, which fan out requests
  // to all shards for the others. Without any, all are alike.
  int strong_per_domain = 0;
  // The part of a strong VM's processor that the others have.
  double weak_share = 0.25;
  LinkDelays links;
  LeafPlan leaves;
  // Each region's leaf of a collection takes so many times the work.
  std::vector<double> speeds = {1.0};
  // With a leaf in the first failure domain of each region.
  int collections = 10;
  // Set if there is one more collection, kSingleCollection, with such a leaf in
  // every failure domain.
  std::optional<LeafPlan> single_leaves;
  std::vector<ClassPlan> classes;
  std::vector<Trouble> troubles;
  std::vector<DeadlyRequest> deadly_requests;
  // From the third leaf that ended under a deadly request on, after this time,
  // no more than `most_deadly_retries` tries of it may reach leaves.
  base::Duration known_after = base::Milliseconds(4'000);
  int most_deadly_retries = 3;
  // Whether daemons tell each other of leaves also where none is stronger than
  // the others. (Where some are, they always do.)
  bool tells = false;
  // Of the datagrams between daemons.
  double datagrams_lost = 0.01;
  // Callers of a class ask so many different things; 0: never the same twice.
  int targets_per_class = 1;
  admission::ExtraSendBound extra_sends{0.2, 56.0, base::Milliseconds(10'000)};
  // The bound that the run is checked against, if it is another one.
  std::optional<admission::ExtraSendBound> checked_extra_sends;
  // How many times an even share of the callers the first daemon gets.
  double first_daemon_load = 1.0;
  base::Duration length = base::Milliseconds(24'000);
  // Of all daemons.
  base::Mechanism without = base::Mechanism::kNothing;
  std::uint64_t seed = 1;
};

inline constexpr const char* kSingleCollection = "single";

// The name of collection `index`.
std::string CollectionName(int index);
// The name of a failure domain; that of the region if it is the only one.
std::string DomainName(const FleetPlan& plan, int region, int domain);

}  // namespace medlarspread::emulator

#endif  // MEDLARSPREAD_EMULATOR_FLEET_FLEET_PLAN_H_
