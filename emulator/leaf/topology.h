// Reads a topology file, which describes many leaves in INI format, one section
// per service.
//
//   [dispute-desk]         the service, which is also the collection
//   shards = 10            equal ranges of the key space
//   replicas = 3           leaves per shard, named SERVICE-sSHARD-rREPLICA
//   regions = r1,r2,r3     replica i is in the i-th region, cyclically,
//   failure_domains = a,b  and in the i-th failure domain
//   snapshot = 1:1         index version and layout version
//   slots, connections, queue_limit, service_ms, gamma_shape,
//   straggler_share, straggler_factor, delay_ms, connect_ms, items
//                          the same as the options of `leaf`

#ifndef MEDLARSPREAD_EMULATOR_LEAF_TOPOLOGY_H_
#define MEDLARSPREAD_EMULATOR_LEAF_TOPOLOGY_H_

#include <cstdint>
#include <string>
#include <vector>

#include "emulator/leaf/leaf_settings.h"
#include "src/base/result.h"

namespace medlarspread::emulator {

// Returns the settings of all leaves in the file. Leaf i has the seed `seed` +
// i.
base::Result<std::vector<LeafSettings>> ReadTopology(const std::string& path,
                                                     std::uint64_t seed);

}  // namespace medlarspread::emulator

#endif  // MEDLARSPREAD_EMULATOR_LEAF_TOPOLOGY_H_
