// A shard request that waits for a slot at a leaf.

#ifndef MEDLARSPREAD_ADMISSION_QUEUE_ITEM_H_
#define MEDLARSPREAD_ADMISSION_QUEUE_ITEM_H_

#include <cstdint>
#include <string>

#include "src/base/clock.h"

namespace medlarspread::admission {

struct QueueItem {
  // Unique within one queue.
  std::uint64_t id = 0;
  std::string class_name;
  // When the latency target of its class passes.
  base::MonotonicTime target_due;
  // When the caller stops waiting.
  base::MonotonicTime deadline;
  // Whether this is a second send, made because the first replica is late.
  bool is_hedge = false;
};

}  // namespace medlarspread::admission

#endif  // MEDLARSPREAD_ADMISSION_QUEUE_ITEM_H_
