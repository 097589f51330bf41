// The queues of all shards of one collection, and the number of requests of
// each shard that are at a leaf.

#ifndef MEDLARSPREAD_ROUTING_SHARD_QUEUES_H_
#define MEDLARSPREAD_ROUTING_SHARD_QUEUES_H_

#include <atomic>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "src/admission/urgency_queue.h"
#include "src/base/clock.h"
#include "src/blackboard/blackboard.h"
#include "src/routing/replica_index.h"

namespace medlarspread::routing {

// Used on one sequence, except for the totals.
class ShardQueues {
 public:
  ShardQueues(const blackboard::Blackboard& blackboard,
              admission::UrgencyOrder order)
      : blackboard_(blackboard), order_(order) {}

  void Push(const ShardKey& key, admission::QueueItem item);
  // Removes the most urgent item that `predicate` accepts.
  std::optional<std::uint64_t> Pop(
      const ShardKey& key,
      base::MonotonicTime now,
      const admission::UrgencyQueue::Predicate& predicate);
  void Remove(const ShardKey& key, std::uint64_t id);

  // How long `item` would wait in the shard's queue; see UrgencyQueue.
  base::Duration ExpectedWait(const ShardKey& key,
                              const admission::QueueItem& item,
                              double completions_per_second) const;

  // A request of the shard was sent to a leaf, or ended there.
  void DidSend(const ShardKey& key);
  void DidFinish(const ShardKey& key);

  std::size_t queued(const ShardKey& key) const;
  std::vector<ShardKey> keys() const;

  // Totals over all shards; safe to read from any thread.
  int total_queued() const { return total_queued_.load(); }
  int total_running() const { return total_running_.load(); }

 private:
  struct Row {
    admission::UrgencyQueue queue;
    int running = 0;
  };

  Row& RowOf(const ShardKey& key);
  void EraseIfIdle(const ShardKey& key);

  const blackboard::Blackboard& blackboard_;
  const admission::UrgencyOrder order_;
  // Invariant: a shard has a row only while it has queued or running requests.
  std::map<ShardKey, Row> rows_;
  std::atomic<int> total_queued_ = 0;
  std::atomic<int> total_running_ = 0;
};

}  // namespace medlarspread::routing

#endif  // MEDLARSPREAD_ROUTING_SHARD_QUEUES_H_
