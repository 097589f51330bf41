// Plain data that describes a virtual fleet: its daemons and leaves, its load
// and the faults injected into it.

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
  // Between failure domains of one region.
  base::Duration between_domains = base::Duration(500);
  base::Duration between_regions = base::Milliseconds(20);
  base::Duration to_callers = base::Milliseconds(1);
};

// Parameters of a group of leaves. Each collection has one leaf per region.
struct LeafPlan {
  int slots = 3;
  // Maximum number of requests waiting for a slot; the leaf refuses more.
  int queue = 18;
  // Maximum number of connections from all daemons together.
  int connections = 31;
  // Time to open a connection, in addition to the network round trip.
  base::Duration connect_time = base::Milliseconds(6);
  // How long a connection must be idle until a leaf detects that the daemon at
  // the other end is gone.
  base::Duration idle_timeout = base::Milliseconds(5'000);
  // Every leaf periodically pauses, with a random phase per leaf.
  base::Duration pause = base::Milliseconds(250);
  base::Duration pause_interval = base::Milliseconds(6'000);
};

// One class of requests.
struct ClassPlan {
  std::string name;
  // 1 for requests to one collection; otherwise the first `shards` collections
  // are the shards of each request.
  int shards = 1;
  // Target of requests to one collection; the first collection if empty.
  std::string collection;
  double coverage = 1.0;
  bool is_idempotent = true;
  int most_attempts = 3;
  // Total over all daemons.
  double requests_per_second = 100.0;
  // Mean service time at a leaf.
  base::Duration mean_work = base::Milliseconds(15);
  // Standard deviation of the logarithm of the service time.
  double work_spread = 0.35;
  base::Duration target = base::Milliseconds(200);
  base::Duration deadline = base::Milliseconds(1'200);
};

enum class FaultKind {
  // Service times at leaves are multiplied by `strength`.
  kSlow,
  // Leaves run a request, then reset its connection with probability
  // `strength`.
  kResets,
  // Leaves accept requests and never reply.
  kDark,
  // Leaves refuse requests with probability `strength`, as if they were full.
  kSheds,
  // All daemons lose power and restart at the end of the fault. Leaves keep the
  // connections of the dead daemons open until they time out.
  kPowerLoss,
  // The callers' request rate is multiplied by `strength`.
  kBurst,
  // Daemons freeze: they neither receive nor send until the end of the fault.
  kFrozenDaemons,
  // The processes of leaves crash and restart at the end of the fault.
  kCrash,
  // All datagrams between daemons are lost.
  kNoDatagrams,
  // The store is unavailable: it fails writes and sends no updates.
  kStoreUnavailable,
  // Replies of daemons to other daemons are lost.
  kMuteDaemons,
  // Leaves end permanently. At the end of the fault a leaf of the collection
  // `tenant` starts at the address of each. Daemons are notified of neither.
  kAddressReused,
};

inline constexpr base::NameTable<FaultKind, 12> kFaultKindNames{{{
    {FaultKind::kSlow, "slow"},
    {FaultKind::kResets, "resets"},
    {FaultKind::kDark, "dark"},
    {FaultKind::kSheds, "sheds"},
    {FaultKind::kPowerLoss, "power_loss"},
    {FaultKind::kBurst, "burst"},
    {FaultKind::kFrozenDaemons, "frozen_daemons"},
    {FaultKind::kCrash, "crash"},
    {FaultKind::kNoDatagrams, "no_datagrams"},
    {FaultKind::kStoreUnavailable, "store_away"},
    {FaultKind::kMuteDaemons, "mute_daemons"},
    {FaultKind::kAddressReused, "address_reused"},
}}};

struct Fault {
  FaultKind kind = FaultKind::kSlow;
  base::Duration begin{};
  base::Duration end{};
  double strength = 1.0;
  // Fraction of the leaves or daemons affected, chosen at random by the seed.
  double share = 1.0;
  // Restricts the fault to leaves of this collection; all leaves if empty.
  std::string collection;
  // For kAddressReused: the collection whose leaves take over the addresses.
  std::string tenant = {};
};

// A request that crashes every leaf that runs it. A caller sends it to any
// daemon, retries once on failure, and repeats this `times` times.
struct DeadlyRequest {
  std::string class_name;
  base::Duration first{};
  base::Duration gap = base::Milliseconds(4'000);
  int times = 10;
  // Time from the start of a run to the crash of its leaf.
  base::Duration crash_after = base::Milliseconds(10);
  // Downtime of a crashed leaf.
  base::Duration down = base::Milliseconds(2'500);
};

struct FleetPlan {
  int regions = 3;
  // The daemons of a region are assigned to its failure domains round-robin.
  int domains_per_region = 1;
  int daemons_per_region = 3;
  // Daemons on strong VMs per failure domain, which fan out requests to all
  // shards for the other daemons. If 0, all daemons are equal.
  int strong_per_domain = 0;
  // Processor capacity of the other VMs relative to a strong VM.
  double weak_share = 0.25;
  LinkDelays links;
  LeafPlan leaves;
  // Service time factors of the leaves of a collection, assigned to regions in
  // turn.
  std::vector<double> speeds = {1.0};
  // Number of collections; each has a leaf in the first failure domain of each
  // region.
  int collections = 10;
  // If set, there is an additional collection, kSingleCollection, with such a
  // leaf in every failure domain.
  std::optional<LeafPlan> single_leaves;
  std::vector<ClassPlan> classes;
  std::vector<Fault> faults;
  std::vector<DeadlyRequest> deadly_requests;
  // Starting this long after a deadly request crashed its third leaf, at most
  // `max_deadly_retries` further attempts of it may reach leaves.
  base::Duration known_after = base::Milliseconds(4'000);
  int max_deadly_retries = 3;
  // Whether daemons exchange leaf reports even if no daemon is on a strong VM.
  // (If some are, daemons always exchange them.)
  bool tells = false;
  // Fraction of the datagrams between daemons that is lost.
  double datagrams_lost = 0.01;
  // Number of distinct request targets per class; 0 makes each target unique.
  int targets_per_class = 1;
  admission::ExtraSendBound extra_sends{0.2, 56.0, base::Milliseconds(10'000)};
  // The bound that the run is checked against, if it differs from
  // `extra_sends`.
  std::optional<admission::ExtraSendBound> checked_extra_sends;
  // Load of the first daemon as a multiple of an even share of the callers.
  double first_daemon_load = 1.0;
  base::Duration length = base::Milliseconds(24'000);
  // The mechanism that all daemons disable.
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
