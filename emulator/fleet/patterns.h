// The load patterns that design decisions are evaluated with, each a plan of a
// fleet.

#ifndef MEDLARSPREAD_EMULATOR_FLEET_PATTERNS_H_
#define MEDLARSPREAD_EMULATOR_FLEET_PATTERNS_H_

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include "emulator/fleet/fleet_plan.h"

namespace medlarspread::emulator {

struct Pattern {
  std::string_view name;
  std::string_view what;
  FleetPlan (*make)(std::uint64_t seed);
  // The seconds that are evaluated: [first_second, last_second).
  int first_second = 0;
  int last_second = 0;
};

// All patterns.
const std::vector<Pattern>& Patterns();
const Pattern* FindPattern(std::string_view name);

// The fleets that the patterns run on, without faults: nine daemons and ten
// shards; 195 daemons and 42 shards.
FleetPlan SmallFleet(std::uint64_t seed);
FleetPlan LargeFleet(std::uint64_t seed);

// A random deployment generated from the seed: service times of 2 to 100 ms, 1
// to 4 regions with delays of 1 to 60 ms between them, varying slots, pauses,
// speeds and numbers of shards, at a load within the capacity of its leaves,
// with faults at some of them.
FleetPlan DrawPlan(std::uint64_t seed);

}  // namespace medlarspread::emulator

#endif  // MEDLARSPREAD_EMULATOR_FLEET_PATTERNS_H_
