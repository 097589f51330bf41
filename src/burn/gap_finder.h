// Finds the VM time for which there are no counts. Pure functions.

#ifndef MEDLARSPREAD_BURN_GAP_FINDER_H_
#define MEDLARSPREAD_BURN_GAP_FINDER_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "src/base/clock.h"
#include "src/burn/segment.h"

namespace medlarspread::burn {

// What an incarnation's own segments say about it.
struct IncarnationHistory {
  WallRange range;
  // Has a segment that is not closed, and none marked as its last.
  bool is_open = false;
  bool is_last_seen = false;
  Cells cells;
};

using Histories = std::map<VmIncarnation, IncarnationHistory>;

// The histories of all writers of `segments`.
Histories BuildHistories(const std::map<std::string, Segment>& segments);

// Returns the latest time at which an incarnation that stopped without notice
// may have run: when it was marked as gone, when the next incarnation of its VM
// started, or now.
std::int64_t LatestEndOf(
    const VmIncarnation& of,
    const Histories& histories,
    const std::map<VmIncarnation, std::int64_t>& gone_wall_ms,
    std::int64_t now_wall_ms);

// Returns the gap after the last counts of an incarnation. The number of
// requests is estimated from its busiest minute, or from the busiest minute of
// all incarnations if less than a minute of its own is known. `longest_request`
// is added to the length, because requests in progress at the last write were
// not included in it.
Gap GapAfter(const VmIncarnation& of,
             const Histories& histories,
             std::int64_t until_ms,
             base::Duration longest_request);

// Returns `gaps` without the time in `covers`.
std::vector<Gap> TrimGaps(const std::vector<Gap>& gaps,
                          const std::vector<Cover>& covers);

// Returns the part of `gap` that lies in `window`, with its share of the
// requests, rounded up.
std::optional<Gap> ClipGap(const Gap& gap, const WallRange& window);

}  // namespace medlarspread::burn

#endif  // MEDLARSPREAD_BURN_GAP_FINDER_H_
