// Where traffic threads count requests. Each thread adds to a shard of its own
// as long as there are shards enough, so that threads hardly ever wait for each
// other; the control thread takes the shards' counts away once a second and
// adds them up.

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

  // Holds one lock for one map update. Safe from any thread.
  void Record(const RequestRecord& record);

  // Takes all counts away. Each record is in exactly one Take().
  Cells Take();

 private:
  // On a cache line of its own, so that neighbours do not slow each other.
  static constexpr std::size_t kCacheLine = 64;
  struct alignas(kCacheLine) Shard {
    std::mutex mutex;
    Cells cells;
  };
  std::array<Shard, kShards> shards_;
};

}  // namespace medlarspread::burn

#endif  // MEDLARSPREAD_BURN_SHARDED_COUNTS_H_
