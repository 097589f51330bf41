// Finds the VM time for which no counts are at hand. Pure.

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

// What is known of one incarnation from its own segments.
struct IncarnationHistory {
  WallRange range;
  // It has a segment that is not closed, and none that is its last.
  bool is_open = false;
  bool is_last_seen = false;
  Cells cells;
};

using Histories = std::map<VmIncarnation, IncarnationHistory>;

// The histories of all writers of `segments`.
Histories HistoriesOf(const std::map<std::string, Segment>& segments);

// When an incarnation that went without a word was gone at the latest: when
// it was seen to be, or when the next incarnation of its VM started, or now.
std::int64_t GoneBy(const VmIncarnation& of,
                    const Histories& histories,
                    const std::map<VmIncarnation, std::int64_t>& gone_wall_ms,
                    std::int64_t now_wall_ms);

// The gap of an incarnation after its last counts, with the requests estimated
// from its busiest minute; from the busiest minute of all if less than a minute
// of its own is known. `longest_request` is added to the time, because requests
// under way at the last write were not counted in it.
Gap GapAfter(const VmIncarnation& of,
             const Histories& histories,
             std::int64_t until_ms,
             base::Duration longest_request);

// What is left of `gaps` once the covered time is taken out of them.
std::vector<Gap> TrimGaps(const std::vector<Gap>& gaps,
                          const std::vector<Cover>& covers);

// The part of `gap` that lies in `window`, with its share of the requests,
// rounded up.
std::optional<Gap> ClipGap(const Gap& gap, const WallRange& window);

}  // namespace medlarspread::burn

#endif  // MEDLARSPREAD_BURN_GAP_FINDER_H_
