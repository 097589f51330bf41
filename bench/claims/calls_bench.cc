// Prints the calls to the key-value service that claims cost, by rate, fleet
// size and age of the identifiers. Deterministic, but for the processor time.
// Usage: medlarspread_claims_calls [SEED]

#include <cstdint>
#include <cstdlib>
#include <vector>

#include <spdlog/fmt/fmt.h>

#include "bench/claims/fleet.h"

namespace {

using medlarspread::base::Milliseconds;
using medlarspread::claims::Cost;
using medlarspread::claims::Fleet;
using medlarspread::claims::Load;

void Measure(const char* name, const Load& load, std::uint64_t seed) {
  const Cost cost = Fleet(load, seed).Run();
  fmt::print(
      "{:<16} {:>5} {:>8.0f} | {:>8.1f} {:>7.1f} {:>7.1f} {:>6.1f} {:>7.1f} "
      "| {:>8.1f} {:>7} | {:>7.1f} {:>7.1f} {:>8.1f} | {:>7.0f}\n",
      name, load.daemons, load.claims_per_second, cost.swaps, cost.conflicts,
      cost.reads, cost.lists, cost.erases, cost.bytes / 1000.0, cost.keys,
      cost.wait_median_ms, cost.wait_99_ms, cost.granted,
      cost.processor_us_per_claim);
}

}  // namespace

int main(int count, char** arguments) {
  const std::uint64_t seed =
      count > 1 ? std::strtoull(arguments[1], nullptr, 10) : 1;
  fmt::print("seed {}; per second of the whole fleet, waits in ms\n", seed);
  fmt::print(
      "{:<16} {:>5} {:>8} | {:>8} {:>7} {:>7} {:>6} {:>7} | {:>8} {:>7} | "
      "{:>7} {:>7} {:>8} | {:>7}\n",
      "load", "VMs", "claims", "swaps", "conflct", "reads", "lists", "erases",
      "kB", "keys", "median", "p99", "granted", "us/clm");
  for (const double rate : {1.0, 10.0, 100.0, 1000.0, 3000.0}) {
    Load load;
    load.claims_per_second = rate;
    Measure("fresh", load, seed);
  }
  for (const int daemons : {1, 30, 100}) {
    Load load;
    load.daemons = daemons;
    load.claims_per_second = 1000.0;
    Measure("fresh", load, seed);
  }
  for (const std::int64_t oldest_ms : {2'000, 20'000, 500'000}) {
    Load load;
    load.claims_per_second = 1000.0;
    load.oldest_ms = oldest_ms;
    Measure(oldest_ms == 2'000    ? "to 2 s old"
            : oldest_ms == 20'000 ? "to 20 s old"
                                  : "to 500 s old",
            load, seed);
  }
  for (const double rate : {100.0, 1000.0}) {
    Load load;
    load.claims_per_second = rate;
    load.settings.group_interval = {};
    Measure("no pause", load, seed);
    load.settings = {};
    load.settings.forwards = 0;
    Measure("nobody groups", load, seed);
  }
  // Long enough for the first identifiers to expire and be erased.
  for (const double rate : {1.0, 100.0, 1000.0}) {
    Load load;
    load.claims_per_second = rate;
    load.warm_up = Milliseconds(670'000);
    Measure("after 11 min", load, seed);
  }
  return 0;
}
