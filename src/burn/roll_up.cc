// Seals and merges segments, and selects the VM that does it.

#include "src/burn/roll_up.h"

#include <algorithm>
#include <cassert>
#include <utility>

#include "src/base/rendezvous.h"
#include "src/burn/gap_finder.h"

namespace medlarspread::burn {

namespace {

std::int64_t ToMs(base::Duration duration) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(duration)
      .count();
}

std::int64_t FirstMinuteOfHour(std::int64_t minute) {
  return minute / kMinutesPerHour * kMinutesPerHour;
}

// Whether another VM may close an open segment of `of`.
bool IsGoneForLong(const IncarnationHistory& history,
                   std::int64_t gone_by,
                   std::int64_t now_wall_ms,
                   const BurnSettings& settings) {
  if (gone_by < now_wall_ms) {
    return now_wall_ms - gone_by >= ToMs(settings.seal_delay);
  }
  return now_wall_ms - history.range.until_ms >=
         ToMs(settings.seal_overdue_delay);
}

StoredSegment Seal(const StoredSegment& raw) {
  StoredSegment sealed = raw;
  sealed.segment.is_closed = true;
  sealed.segment.is_sealed = true;
  return sealed;
}

}  // namespace

std::vector<StoredSegment> DecodeEntries(
    const std::vector<store::Entry>& entries,
    std::vector<std::string>& damaged) {
  std::vector<StoredSegment> segments;
  for (const store::Entry& entry : entries) {
    auto segment = DecodeSegment(entry.value);
    if (!segment.is_ok()) {
      damaged.push_back(entry.key);
      continue;
    }
    segments.push_back({entry.key, entry.version, std::move(segment.value())});
  }
  return segments;
}

bool IsResponsible(const blackboard::MembershipView& view,
                   const std::string& subject) {
  std::vector<std::string> live;
  for (const auto& [name, member] : view.members) {
    if (member.state == blackboard::MemberState::kLive) {
      live.push_back(name);
    }
  }
  return !live.empty() &&
         base::RankByRendezvous(subject, std::move(live)).front() == view.self;
}

std::set<VmIncarnation> CurrentMembers(const blackboard::MembershipView& view) {
  std::set<VmIncarnation> members;
  for (const auto& [name, member] : view.members) {
    if (member.state != blackboard::MemberState::kGone) {
      members.insert({name, member.incarnation});
    }
  }
  return members;
}

std::vector<StoredSegment> SealGoneWriters(const SealInput& input,
                                           const BurnSettings& settings) {
  std::map<std::string, Segment> by_id;
  // The open segments of each incarnation that is gone, the oldest first.
  std::map<VmIncarnation, std::vector<const StoredSegment*>> open;
  for (const StoredSegment& raw : input.raws) {
    by_id[raw.key] = raw.segment;
    const VmIncarnation& of = raw.segment.writer;
    if (!raw.segment.is_closed && !input.members.contains(of)) {
      open[of].push_back(&raw);
    }
  }
  const Histories histories = BuildHistories(by_id);
  std::vector<StoredSegment> sealed;
  for (auto& [of, raws] : open) {
    const IncarnationHistory& history = histories.at(of);
    const std::int64_t gone_by =
        LatestEndOf(of, histories, input.gone_wall_ms, input.now_wall_ms);
    if (IsGoneForLong(history, gone_by, input.now_wall_ms, settings)) {
      std::ranges::sort(raws, {}, [](const StoredSegment* raw) {
        return raw->segment.range;
      });
      sealed.push_back(Seal(*raws.front()));
      // The gap is recorded with the last open segment, so that it is recorded
      // once even if some of the compare-and-swaps fail.
      if (raws.size() == 1 && history.is_open) {
        sealed.back().segment.gaps.push_back(
            GapAfter(of, histories, gone_by, settings.longest_request));
      }
    }
  }
  return sealed;
}

void MergeSegment(const StoredSegment& source, bool is_day, Segment& roll_up) {
  const Segment& segment = source.segment;
  assert(segment.is_closed && !Contains(roll_up, source.key));
  for (const auto& [key, counts] : segment.cells) {
    CellKey merged = key;
    if (is_day) {
      merged.minute = FirstMinuteOfHour(key.minute);
    }
    roll_up.cells[merged] += counts;
  }
  roll_up.gaps.insert(roll_up.gaps.end(), segment.gaps.begin(),
                      segment.gaps.end());
  roll_up.covers.insert(roll_up.covers.end(), segment.covers.begin(),
                        segment.covers.end());
  if (segment.is_after_seal) {
    roll_up.covers.push_back({segment.writer, segment.range});
  }
  roll_up.clock_step_ms =
      std::max(roll_up.clock_step_ms, segment.clock_step_ms);
  roll_up.sources.push_back({source.key, segment.sequence});
}

bool Contains(const Segment& roll_up, const std::string& key) {
  return std::any_of(roll_up.sources.begin(), roll_up.sources.end(),
                     [&key](const Source& source) { return source.id == key; });
}

}  // namespace medlarspread::burn
