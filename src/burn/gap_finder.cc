// Interval arithmetic on the running times of incarnations.

#include "src/burn/gap_finder.h"

#include <algorithm>

namespace medlarspread::burn {

namespace {

// Minutes with less covered time than this are not used to estimate the rate.
constexpr std::int64_t kShortestSampleMs = 1'000;
// Incarnations with less covered time than this have no request rate of their
// own yet.
constexpr std::int64_t kEnoughToEstimateMs = kMillisecondsPerMinute;

std::int64_t DivideRoundingUp(std::int64_t dividend, std::int64_t divisor) {
  return (dividend + divisor - 1) / divisor;
}

WallRange Intersect(const WallRange& one, const WallRange& other) {
  return {std::max(one.from_ms, other.from_ms),
          std::min(one.until_ms, other.until_ms)};
}

// Counts the requests of each class and minute, for all targets together.
std::map<std::string, std::map<std::int64_t, std::int64_t>> AskedPerMinute(
    const Cells& cells) {
  std::map<std::string, std::map<std::int64_t, std::int64_t>> asked;
  for (const auto& [key, counts] : cells) {
    asked[key.class_name][key.minute] += counts.asked;
  }
  return asked;
}

// Returns the number of requests in `length_ms` at the rate of one minute of
// `history`.
std::int64_t Extrapolate(std::int64_t minute,
                         std::int64_t asked,
                         const WallRange& covered,
                         std::int64_t length_ms) {
  const WallRange whole{minute * kMillisecondsPerMinute,
                        (minute + 1) * kMillisecondsPerMinute};
  const std::int64_t sample =
      std::max(Intersect(whole, covered).length_ms(), kShortestSampleMs);
  return DivideRoundingUp(asked * length_ms, sample);
}

// Raises each class's estimate to the requests in `length_ms` at the rate of
// the busiest minute of `history`.
void RaiseEstimates(const IncarnationHistory& history,
                    std::int64_t length_ms,
                    std::map<std::string, std::int64_t>& estimates) {
  for (const auto& [class_name, minutes] : AskedPerMinute(history.cells)) {
    std::int64_t& most = estimates[class_name];
    for (const auto& [minute, asked] : minutes) {
      most =
          std::max(most, Extrapolate(minute, asked, history.range, length_ms));
    }
  }
}

// Returns what remains of `gap` without `covered`: zero, one or two gaps.
std::vector<Gap> SubtractRange(const Gap& gap, const WallRange& covered) {
  std::vector<Gap> pieces;
  const WallRange before{
      gap.range.from_ms,
      std::min(gap.range.until_ms,
               std::max(covered.from_ms, gap.range.from_ms))};
  const WallRange after{
      std::max(gap.range.from_ms,
               std::min(covered.until_ms, gap.range.until_ms)),
      gap.range.until_ms};
  if (covered.length_ms() == 0) {
    return {gap};
  }
  for (const WallRange& range : {before, after}) {
    if (auto piece = ClipGap(gap, range)) {
      pieces.push_back(std::move(*piece));
    }
  }
  return pieces;
}

}  // namespace

Histories BuildHistories(const std::map<std::string, Segment>& segments) {
  Histories histories;
  for (const auto& [id, segment] : segments) {
    if (segment.writer.vm.empty()) {
      continue;
    }
    const auto [found, is_new] = histories.try_emplace(segment.writer);
    IncarnationHistory& history = found->second;
    if (is_new) {
      history.range = segment.range;
    }
    history.range.from_ms =
        std::min(history.range.from_ms, segment.range.from_ms);
    history.range.until_ms =
        std::max(history.range.until_ms, segment.range.until_ms);
    history.is_last_seen |= segment.is_last;
    history.is_open |= !segment.is_closed;
    Add(segment.cells, history.cells);
  }
  for (auto& [of, history] : histories) {
    history.is_open &= !history.is_last_seen;
  }
  return histories;
}

std::int64_t LatestEndOf(
    const VmIncarnation& of,
    const Histories& histories,
    const std::map<VmIncarnation, std::int64_t>& gone_wall_ms,
    std::int64_t now_wall_ms) {
  std::int64_t gone_by = now_wall_ms;
  const std::int64_t last_known = histories.at(of).range.until_ms;
  // A mark older than the last counts was a false positive: the VM was only
  // frozen or unreachable.
  const auto mark = gone_wall_ms.find(of);
  if (mark != gone_wall_ms.end() && mark->second >= last_known) {
    gone_by = std::min(gone_by, mark->second);
  }
  const auto next = histories.upper_bound(of);
  if (next != histories.end() && next->first.vm == of.vm) {
    gone_by = std::min(gone_by, next->second.range.from_ms);
  }
  return std::max(gone_by, last_known);
}

Gap GapAfter(const VmIncarnation& of,
             const Histories& histories,
             std::int64_t until_ms,
             base::Duration longest_request) {
  const IncarnationHistory& own = histories.at(of);
  Gap gap{of, {own.range.until_ms, until_ms}, {}};
  const std::int64_t length_ms =
      gap.range.length_ms() +
      std::chrono::duration_cast<std::chrono::milliseconds>(longest_request)
          .count();
  RaiseEstimates(own, length_ms, gap.requests);
  if (own.range.length_ms() < kEnoughToEstimateMs) {
    for (const auto& [other, history] : histories) {
      RaiseEstimates(history, length_ms, gap.requests);
    }
  }
  return gap;
}

std::vector<Gap> TrimGaps(const std::vector<Gap>& gaps,
                          const std::vector<Cover>& covers) {
  std::vector<Gap> left = gaps;
  for (const Cover& cover : covers) {
    std::vector<Gap> next;
    for (const Gap& gap : left) {
      if (gap.of != cover.of) {
        next.push_back(gap);
        continue;
      }
      const std::vector<Gap> pieces = SubtractRange(gap, cover.range);
      next.insert(next.end(), pieces.begin(), pieces.end());
    }
    left = std::move(next);
  }
  return left;
}

std::optional<Gap> ClipGap(const Gap& gap, const WallRange& window) {
  const WallRange range = Intersect(gap.range, window);
  if (range.length_ms() == 0) {
    return std::nullopt;
  }
  Gap clipped{gap.of, range, {}};
  for (const auto& [class_name, requests] : gap.requests) {
    clipped.requests[class_name] =
        DivideRoundingUp(requests * range.length_ms(), gap.range.length_ms());
  }
  return clipped;
}

}  // namespace medlarspread::burn
