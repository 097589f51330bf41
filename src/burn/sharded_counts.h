// Request counts of the traffic threads, split into shards. Each thread adds to
// its own shard as long as there are enough shards, so that threads rarely
// contend for a lock. The control thread periodically takes and sums the counts
// of all shards.

#ifndef MEDLARSPREAD_BURN_SHARDED_COUNTS_H_
#define MEDLARSPREAD_BURN_SHARDED_COUNTS_H_

#include <array>
#include <cstddef>
#include <mutex>

#include "src/burn/counts.h"

namespace medlarspread::burn {

class ShardedCounts {
 public:
  static constexpr std::size_t kShards = 32;

  // Holds a lock for one map update. May be called from any thread.
  void Record(const RequestRecord& record);

  // Returns and resets all counts. Each record is returned by exactly one call.
  Cells Take();

 private:
  // Each shard has a cache line of its own to avoid false sharing.
  static constexpr std::size_t kCacheLine = 64;
  struct alignas(kCacheLine) Shard {
    std::mutex mutex;
    Cells cells;
  };
  std::array<Shard, kShards> shards_;
};

}  // namespace medlarspread::burn

#endif  // MEDLARSPREAD_BURN_SHARDED_COUNTS_H_
