// One map with a lock per shard; each thread always uses the same shard.

#include "src/burn/sharded_counts.h"

#include <atomic>
#include <utility>

namespace medlarspread::burn {

namespace {

std::size_t ShardOfThisThread() {
  static std::atomic<std::size_t> next_thread{0};
  thread_local const std::size_t shard =
      next_thread.fetch_add(1) % ShardedCounts::kShards;
  return shard;
}

}  // namespace

void ShardedCounts::Record(const RequestRecord& record) {
  CellKey key = KeyOf(record);
  const Counts counts = CountOf(record);
  Shard& shard = shards_[ShardOfThisThread()];
  const std::lock_guard lock(shard.mutex);
  shard.cells[std::move(key)] += counts;
}

Cells ShardedCounts::Take() {
  Cells sum;
  for (Shard& shard : shards_) {
    Cells cells;
    {
      const std::lock_guard lock(shard.mutex);
      cells.swap(shard.cells);
    }
    Add(cells, sum);
  }
  return sum;
}

}  // namespace medlarspread::burn
