// Settings of one emulated leaf, from the command line, a topology file or a
// control call.

#ifndef MEDLARSPREAD_EMULATOR_LEAF_LEAF_SETTINGS_H_
#define MEDLARSPREAD_EMULATOR_LEAF_LEAF_SETTINGS_H_

#include <cstdint>
#include <string>
#include <vector>

#include "src/base/clock.h"
#include "src/base/name_table.h"
#include "src/base/result.h"
#include "src/blackboard/views.h"

namespace medlarspread::emulator {

enum class LeafState { kServing, kCold, kDraining };

constexpr base::NameTable<LeafState, 3> kLeafStates{
    {{{LeafState::kServing, "serving"},
      {LeafState::kCold, "cold"},
      {LeafState::kDraining, "draining"}}}};

struct LeafSettings {
  std::string name = "leaf";
  std::string address = "127.0.0.1:0";
  std::string collection = "main";
  std::string region = "r1";
  std::string failure_domain = "r1a";
  int slots = 2;
  // Maximum concurrent requests; a connection carries one request at a time.
  int connections = 25;
  // Maximum number of requests waiting for a slot; the leaf sheds the rest.
  int queue_limit = 8;
  // Retry delay that refusals give to callers.
  base::Duration retry_after = base::Milliseconds(20);
  std::vector<blackboard::Holding> holdings;
  // Service times are drawn from a gamma distribution.
  double service_ms = 5.0;
  double gamma_shape = 4.0;
  double straggler_share = 0.0;
  double straggler_factor = 10.0;
  // Simulated network delay in each direction.
  double delay_ms = 0.0;
  // Added to a request that needs a new connection; see
  // LeafService::ArrivalDelay().
  double connect_ms = 0.0;
  int items_per_answer = 1;
  std::uint64_t seed = 1;
};

// Parses "VERSION:LAYOUT:LOW-HIGH,...".
base::Result<std::vector<blackboard::Holding>> ParseHoldings(
    const std::string& text);

}  // namespace medlarspread::emulator

#endif  // MEDLARSPREAD_EMULATOR_LEAF_LEAF_SETTINGS_H_
