// The fleet plans of the patterns. Their base deployment has the size of a
// small user's: ten shards with a leaf in each of three regions, and 150
// requests per second of 15 ms at each shard, a quarter of the leaves'
// capacity.

#include "emulator/fleet/patterns.h"

#include <algorithm>

#include "src/base/random.h"

namespace medlarspread::emulator {

namespace {

using base::Milliseconds;

FleetPlan Calm(std::uint64_t seed) {
  return SmallFleet(seed);
}

// A tenth of the leaves become ten times slower. A few shards keep only one
// leaf at normal speed, in another region.
FleetPlan SlowLeaves(std::uint64_t seed) {
  FleetPlan plan = SmallFleet(seed);
  plan.faults = {{FaultKind::kSlow, Milliseconds(12'000), Milliseconds(20'000),
                  10.0, 0.15, ""}};
  return plan;
}

// All leaves of one shard become ten times slower: they have capacity for a
// third of the requests, and there are no other leaves for the shard.
FleetPlan SlowShard(std::uint64_t seed) {
  FleetPlan plan = SmallFleet(seed);
  plan.faults = {{FaultKind::kSlow, Milliseconds(12'000), Milliseconds(20'000),
                  10.0, 1.0, CollectionName(0)}};
  return plan;
}

// Half of the leaves lose 40% of their answers for some seconds: this takes
// three extra sends for ten requests at each shard, which exceeds the extra
// send budget.
FleetPlan Resets(std::uint64_t seed) {
  FleetPlan plan = SmallFleet(seed);
  plan.faults = {{FaultKind::kResets, Milliseconds(16'000),
                  Milliseconds(20'000), 0.4, 0.5, ""}};
  return plan;
}

// The same for at-most-once requests to one collection: lost answers can't be
// retried, so the result depends on the choice of the leaf.
FleetPlan ResetsOfSingle(std::uint64_t seed) {
  FleetPlan plan;
  plan.seed = seed;
  plan.collections = 1;
  plan.daemons_per_region = 1;
  plan.leaves.pause = {};
  ClassPlan fetch;
  fetch.name = "fetch";
  fetch.is_idempotent = false;
  fetch.most_attempts = 2;
  fetch.requests_per_second = 30.0;
  fetch.mean_work = Milliseconds(60);
  fetch.target = Milliseconds(600);
  fetch.deadline = Milliseconds(3'000);
  plan.classes = {fetch};
  plan.faults = {{FaultKind::kResets, Milliseconds(12'000),
                  Milliseconds(18'000), 0.4, 0.34, ""}};
  return plan;
}

// All daemons lose power for a second. Leaves keep the connections of the dead
// daemons open for five more seconds, and each caller retries once.
FleetPlan PowerLoss(std::uint64_t seed) {
  FleetPlan plan = SmallFleet(seed);
  plan.faults = {{FaultKind::kPowerLoss, Milliseconds(14'000),
                  Milliseconds(15'000), 1.0, 1.0, ""}};
  return plan;
}

// One leaf of a shard doesn't respond: its connections hang.
FleetPlan DarkLeaf(std::uint64_t seed) {
  FleetPlan plan = SmallFleet(seed);
  plan.faults = {{FaultKind::kDark, Milliseconds(12'000), Milliseconds(18'000),
                  1.0, 0.1, ""}};
  return plan;
}

// A third of the leaves refuse half of their requests.
FleetPlan Sheds(std::uint64_t seed) {
  FleetPlan plan = SmallFleet(seed);
  plan.faults = {{FaultKind::kSheds, Milliseconds(12'000), Milliseconds(18'000),
                  0.5, 0.34, ""}};
  return plan;
}

// Four times the load, with one daemon getting five times its even share.
FleetPlan Burst(std::uint64_t seed) {
  FleetPlan plan = SmallFleet(seed);
  plan.first_daemon_load = 5.0;
  plan.faults = {{FaultKind::kBurst, Milliseconds(12'000), Milliseconds(16'000),
                  4.0, 1.0, ""}};
  return plan;
}

// Load on the single collection only, for patterns with faults at its leaves,
// which the other class doesn't use.
FleetPlan LargeSingle(std::uint64_t seed) {
  FleetPlan plan = LargeFleet(seed);
  plan.classes.erase(plan.classes.begin());
  plan.collections = 1;
  return plan;
}

// Half of the single collection's leaves become eight times slower; the other
// half has capacity for three times its load.
FleetPlan LargeSlowSingle(std::uint64_t seed) {
  FleetPlan plan = LargeSingle(seed);
  plan.faults = {{FaultKind::kSlow, Milliseconds(8'000), Milliseconds(16'000),
                  8.0, 0.5, kSingleCollection}};
  return plan;
}

// Five of six leaves lose one in twelve answers to at-most-once requests; the
// sixth has capacity for nearly all requests.
FleetPlan LargeResetsOfSingle(std::uint64_t seed) {
  FleetPlan plan = LargeSingle(seed);
  plan.faults = {{FaultKind::kResets, Milliseconds(8'000), Milliseconds(16'000),
                  0.08, 0.83, kSingleCollection}};
  return plan;
}

// A fifth of the daemons freeze for three seconds, including aggregators.
FleetPlan LargeFrozenDaemons(std::uint64_t seed) {
  FleetPlan plan = LargeFleet(seed);
  plan.classes.pop_back();
  plan.faults = {{FaultKind::kFrozenDaemons, Milliseconds(8'000),
                  Milliseconds(11'000), 1.0, 0.2, ""}};
  plan.length = Milliseconds(14'000);
  return plan;
}

// A request to all shards crashes every leaf that runs it. Its caller sends it
// every four seconds, six times.
FleetPlan WithDeadlyRequest(FleetPlan plan) {
  plan.tells = true;
  plan.length = Milliseconds(28'000);
  DeadlyRequest deadly;
  deadly.class_name = "sweep";
  deadly.first = Milliseconds(5'000);
  deadly.times = 6;
  plan.deadly_requests = {deadly};
  return plan;
}

FleetPlan SmallDeadlyRequest(std::uint64_t seed) {
  return WithDeadlyRequest(SmallFleet(seed));
}

FleetPlan LargeDeadlyRequest(std::uint64_t seed) {
  return WithDeadlyRequest(LargeFleet(seed));
}

// Draws an integer from `low` to `high`, uniform on a logarithmic scale.
int DrawBetween(base::Random& random, int low, int high) {
  int value = low;
  while (value < high && random.Below(3) != 0) {
    value = std::min(
        high,
        value + 1 +
            static_cast<int>(random.Below(static_cast<std::uint64_t>(value))));
  }
  return value;
}

}  // namespace

FleetPlan SmallFleet(std::uint64_t seed) {
  FleetPlan plan;
  plan.seed = seed;
  plan.speeds = {0.8, 1.0, 1.3};
  ClassPlan sweep;
  sweep.name = "sweep";
  sweep.shards = 10;
  sweep.coverage = 0.89;
  sweep.requests_per_second = 120.0;
  ClassPlan lookup = sweep;
  lookup.name = "lookup";
  lookup.coverage = 0.75;
  lookup.requests_per_second = 40.0;
  lookup.mean_work = Milliseconds(5);
  lookup.target = Milliseconds(150);
  lookup.deadline = Milliseconds(800);
  plan.classes = {sweep, lookup};
  return plan;
}

// 195 daemons: six failure domains in three regions with three strong daemons
// each, 42 shards, and a single collection with a leaf in each domain, to which
// each daemon sends one request in eight seconds.
FleetPlan LargeFleet(std::uint64_t seed) {
  FleetPlan plan;
  plan.seed = seed;
  plan.domains_per_region = 2;
  plan.daemons_per_region = 65;
  plan.strong_per_domain = 3;
  plan.links.between_regions = Milliseconds(8);
  plan.links.to_callers = Milliseconds(3);
  plan.collections = 42;
  plan.leaves.connections = 125;
  plan.leaves.pause = Milliseconds(150);
  plan.leaves.pause_interval = Milliseconds(3'600);
  LeafPlan single;
  single.slots = 2;
  single.queue = 8;
  single.connections = 1'200;
  single.connect_time = Milliseconds(1);
  single.pause = {};
  plan.single_leaves = single;
  plan.extra_sends = {0.2, 430.0, Milliseconds(10'000)};
  plan.length = Milliseconds(22'000);
  ClassPlan sweep;
  sweep.name = "sweep";
  sweep.shards = plan.collections;
  sweep.coverage = 0.95;
  sweep.most_attempts = 2;
  sweep.requests_per_second = 75.0;
  sweep.mean_work = Milliseconds(8);
  sweep.target = Milliseconds(200);
  sweep.deadline = Milliseconds(1'000);
  ClassPlan fetch;
  fetch.name = "fetch";
  fetch.collection = kSingleCollection;
  fetch.is_idempotent = false;
  fetch.most_attempts = 2;
  fetch.requests_per_second = 25.0;
  fetch.mean_work = Milliseconds(60);
  fetch.work_spread = 0.5;
  fetch.target = Milliseconds(300);
  fetch.deadline = Milliseconds(3'000);
  plan.classes = {sweep, fetch};
  return plan;
}

const std::vector<Pattern>& Patterns() {
  static const std::vector<Pattern> patterns = {
      {"calm", "no faults", Calm, 2, 20},
      {"slow_leaves", "a seventh of the leaves are ten times slower",
       SlowLeaves, 12, 20},
      {"slow_shard", "all leaves of one shard are ten times slower", SlowShard,
       12, 20},
      {"resets", "half of the leaves lose 40% of their answers", Resets, 16,
       20},
      {"resets_single",
       "a third of the leaves reset connections; at-most-once requests",
       ResetsOfSingle, 12, 18},
      {"power_loss", "all daemons lose power for a second", PowerLoss, 15, 21},
      {"dark_leaf", "a tenth of the leaves do not respond", DarkLeaf, 12, 18},
      {"sheds", "a third of the leaves refuse half of their requests", Sheds,
       12, 18},
      {"burst", "four times the load, unevenly distributed", Burst, 12, 16},
      {"large_calm", "195 daemons, no faults", LargeFleet, 2, 12},
      {"large_slow_single",
       "195 daemons; half of a single collection's leaves are slow",
       LargeSlowSingle, 8, 16},
      {"large_resets_single",
       "195 daemons; five of six leaves reset; at-most-once requests",
       LargeResetsOfSingle, 8, 16},
      {"large_frozen", "195 daemons, of which a fifth freeze",
       LargeFrozenDaemons, 8, 11},
      {"deadly_request", "repeated sends of a request that crashes leaves",
       SmallDeadlyRequest, 5, 28},
      {"large_deadly_request",
       "195 daemons; repeated sends of a request that crashes leaves",
       LargeDeadlyRequest, 5, 28},
  };
  return patterns;
}

const Pattern* FindPattern(std::string_view name) {
  for (const Pattern& pattern : Patterns()) {
    if (pattern.name == name) {
      return &pattern;
    }
  }
  return nullptr;
}

FleetPlan DrawPlan(std::uint64_t seed) {
  base::Random random(seed);
  FleetPlan plan;
  plan.seed = seed;
  plan.regions = 2 + static_cast<int>(random.Below(3));
  plan.daemons_per_region = 1 + static_cast<int>(random.Below(3));
  plan.links.between_regions = Milliseconds(DrawBetween(random, 1, 60));
  plan.leaves.slots = DrawBetween(random, 2, 8);
  plan.leaves.queue = 6 * plan.leaves.slots;
  plan.leaves.connections = 8 * plan.leaves.slots * plan.daemons_per_region;
  plan.leaves.connect_time = Milliseconds(DrawBetween(random, 1, 12));
  plan.leaves.pause = Milliseconds(DrawBetween(random, 20, 300));
  plan.leaves.pause_interval = 25 * plan.leaves.pause;
  for (int region = 0; region < plan.regions; ++region) {
    plan.speeds.push_back(0.7 + random.Unit());
  }
  ClassPlan work;
  work.name = "work";
  work.shards = DrawBetween(random, 2, 60);
  work.coverage = 0.8;
  work.mean_work = Milliseconds(DrawBetween(random, 2, 100));
  // The target is a multiple of the service time plus the delay to another
  // region.
  work.target =
      8 * work.mean_work + 3 * plan.links.between_regions + Milliseconds(20);
  work.deadline = 6 * work.target;
  plan.collections = work.shards;
  // A quarter of the leaves' capacity, capped to keep the run time acceptable.
  const double capacity = plan.regions * plan.leaves.slots * 1000.0 /
                          base::ToMilliseconds(work.mean_work);
  work.requests_per_second = std::min(0.25 * capacity, 1'500.0 / work.shards);
  plan.classes = {work};
  plan.length = Milliseconds(14'000);
  constexpr FaultKind kKinds[] = {FaultKind::kSlow, FaultKind::kResets,
                                  FaultKind::kSheds, FaultKind::kDark};
  const FaultKind kind = kKinds[random.Below(4)];
  const double strength = kind == FaultKind::kSlow ? 3.0 + 8.0 * random.Unit()
                                                   : 0.1 + 0.4 * random.Unit();
  plan.faults = {{kind, Milliseconds(6'000), Milliseconds(11'000), strength,
                  0.05 + 0.3 * random.Unit(), ""}};
  return plan;
}

}  // namespace medlarspread::emulator
