// Reads all segments and marks from the store for one report.

#ifndef MEDLARSPREAD_BURN_SEGMENT_READER_H_
#define MEDLARSPREAD_BURN_SEGMENT_READER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "src/base/task_runner.h"
#include "src/burn/burn_settings.h"
#include "src/burn/segment.h"
#include "src/store/store.h"

namespace medlarspread::burn {

struct StoredCounts {
  std::map<std::string, Segment> segments;
  std::map<VmIncarnation, std::int64_t> gone_wall_ms;
  // Keys of values that could not be decoded; their counts are missing.
  std::vector<std::string> damaged;
};

using ReadCountsCallback = std::function<void(base::Result<StoredCounts>)>;

// Makes four list calls, from the finest segments to the coarsest: segments
// that are rolled up and erased meanwhile are then found in the coarser list,
// and duplicates are recognised by the listed sources. The values are decoded
// in small batches in tasks of `control`, so that a report over a large fleet
// does not block other work.
void ReadCounts(const store::Store& store,
                const BurnSettings& settings,
                const base::TaskRunner& control,
                ReadCountsCallback callback);

}  // namespace medlarspread::burn

#endif  // MEDLARSPREAD_BURN_SEGMENT_READER_H_
