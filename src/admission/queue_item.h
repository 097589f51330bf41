// One shard request that waits for a slot of a leaf.

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
  // When the latency target of its class is missed.
  base::MonotonicTime target_due;
  // When the caller no longer waits.
  base::MonotonicTime deadline;
  // A second send: the caller already waits for a straggler.
  bool is_hedge = false;
};

}  // namespace medlarspread::admission

#endif  // MEDLARSPREAD_ADMISSION_QUEUE_ITEM_H_
