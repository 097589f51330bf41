// Creates queues on first use and erases them when they are idle.

#include "src/routing/shard_queues.h"

#include <utility>

namespace medlarspread::routing {

ShardQueues::Row& ShardQueues::RowOf(const ShardKey& key) {
  const auto found = rows_.find(key);
  if (found != rows_.end()) {
    return found->second;
  }
  return rows_
      .emplace(key, Row{admission::UrgencyQueue(blackboard_, order_), 0})
      .first->second;
}

void ShardQueues::EraseIfIdle(const ShardKey& key) {
  const auto row = rows_.find(key);
  if (row != rows_.end() && row->second.queue.size() == 0 &&
      row->second.running == 0) {
    rows_.erase(row);
  }
}

void ShardQueues::Push(const ShardKey& key, admission::QueueItem item) {
  RowOf(key).queue.Push(std::move(item));
  ++total_queued_;
}

std::optional<std::uint64_t> ShardQueues::Pop(
    const ShardKey& key,
    base::MonotonicTime now,
    const admission::UrgencyQueue::Predicate& predicate) {
  const auto row = rows_.find(key);
  if (row == rows_.end()) {
    return std::nullopt;
  }
  const auto id = row->second.queue.Pop(now, predicate);
  if (id) {
    --total_queued_;
    EraseIfIdle(key);
  }
  return id;
}

void ShardQueues::Remove(const ShardKey& key, std::uint64_t id) {
  const auto row = rows_.find(key);
  if (row != rows_.end() && row->second.queue.Remove(id)) {
    --total_queued_;
    EraseIfIdle(key);
  }
}

base::Duration ShardQueues::ExpectedWait(const ShardKey& key,
                                         const admission::QueueItem& item,
                                         double completions_per_second) const {
  const auto row = rows_.find(key);
  return row == rows_.end()
             ? base::Duration::zero()
             : row->second.queue.ExpectedWait(item, completions_per_second);
}

void ShardQueues::DidSend(const ShardKey& key) {
  ++RowOf(key).running;
  ++total_running_;
}

void ShardQueues::DidFinish(const ShardKey& key) {
  --RowOf(key).running;
  --total_running_;
  EraseIfIdle(key);
}

std::size_t ShardQueues::queued(const ShardKey& key) const {
  const auto row = rows_.find(key);
  return row == rows_.end() ? 0 : row->second.queue.size();
}

std::vector<ShardKey> ShardQueues::keys() const {
  std::vector<ShardKey> keys;
  for (const auto& [key, row] : rows_) {
    keys.push_back(key);
  }
  return keys;
}

}  // namespace medlarspread::routing
