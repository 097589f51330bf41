// Tracks what was counted and what is known to be in the store.

#include "src/burn/own_counts.h"

#include <algorithm>
#include <cassert>
#include <cstdlib>
#include <utility>

#include "src/store/store.h"

namespace medlarspread::burn {

namespace {

constexpr std::int64_t kMillisecondsPerBucket =
    kMinutesPerBucket * kMillisecondsPerMinute;
// A source stays listed in the roll-up of its hour for longer than this after
// it was written.
constexpr std::int64_t kSourcesKeptMs =
    6 * kMinutesPerHour * kMillisecondsPerMinute;

std::int64_t ToMs(base::Duration duration) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(duration)
      .count();
}

std::int64_t BucketOf(std::int64_t minute) {
  const std::int64_t bucket = minute / kMinutesPerBucket;
  return minute % kMinutesPerBucket < 0 ? bucket - 1 : bucket;
}

WallRange RangeOfBucket(std::int64_t bucket) {
  return {bucket * kMillisecondsPerBucket,
          (bucket + 1) * kMillisecondsPerBucket};
}

void CountAsked(const Cells& cells, std::map<std::string, std::int64_t>& sums) {
  for (const auto& [key, counts] : cells) {
    sums[key.class_name] += counts.asked;
  }
}

bool Contains(const std::vector<Gap>& gaps, const Gap& gap) {
  return std::find(gaps.begin(), gaps.end(), gap) != gaps.end();
}

// Merges adjacent gaps, so that a long outage does not produce a long list.
void AddGap(const Gap& gap, std::vector<Gap>& gaps) {
  for (Gap& other : gaps) {
    if (other.range.from_ms <= gap.range.until_ms &&
        gap.range.from_ms <= other.range.until_ms) {
      other.range.from_ms = std::min(other.range.from_ms, gap.range.from_ms);
      other.range.until_ms = std::max(other.range.until_ms, gap.range.until_ms);
      for (const auto& [class_name, requests] : gap.requests) {
        other.requests[class_name] += requests;
      }
      return;
    }
  }
  gaps.push_back(gap);
}

}  // namespace

OwnCounts::OwnCounts(const BurnSettings& settings,
                     base::Clock clock,
                     std::int64_t nonce)
    : settings_(settings),
      clock_(std::move(clock)),
      nonce_(nonce),
      start_wall_ms_(clock_.WallMilliseconds()),
      clock_difference_ms_(start_wall_ms_ -
                           ToMs(clock_.Now() - base::MonotonicTime{})) {
  Cover(start_wall_ms_);
}

std::int64_t OwnCounts::CurrentBucket() const {
  return BucketOf(MinuteOf(clock_.WallMilliseconds()));
}

void OwnCounts::NoteClockStep() {
  const std::int64_t difference_ms =
      clock_.WallMilliseconds() - ToMs(clock_.Now() - base::MonotonicTime{});
  const std::int64_t step_ms = std::abs(difference_ms - clock_difference_ms_);
  clock_step_ms_ = std::max(clock_step_ms_, step_ms);
  clock_difference_ms_ = difference_ms;
}

void OwnCounts::Collect(const Cells& cells) {
  NoteClockStep();
  for (const auto& [key, counts] : cells) {
    Part& part = PartFor(BucketOf(key.minute));
    part.cells[key] += counts;
    part.is_changed = true;
  }
  Cover(clock_.WallMilliseconds());
  LimitMemory();
}

OwnCounts::Part& OwnCounts::PartFor(std::int64_t bucket) {
  const auto found = buckets_.find(bucket);
  if (found != buckets_.end()) {
    return found->second;
  }
  const auto next = next_parts_.find(bucket);
  const std::int64_t number = next == next_parts_.end() ? 0 : next->second;
  Part part;
  part.key = {settings_.failure_domain,
              {settings_.vm_name, settings_.incarnation},
              bucket,
              number};
  const WallRange whole = RangeOfBucket(bucket);
  part.range.from_ms =
      number == 0 ? std::clamp(start_wall_ms_, whole.from_ms, whole.until_ms)
                  : whole.until_ms;
  part.range.until_ms = part.range.from_ms;
  part.is_after_seal = was_sealed_;
  part.version = store::kAbsent;
  return buckets_.emplace(bucket, std::move(part)).first->second;
}

void OwnCounts::Cover(std::int64_t wall_ms) {
  PartFor(BucketOf(MinuteOf(wall_ms)));
  for (auto& [bucket, part] : buckets_) {
    const WallRange whole = RangeOfBucket(bucket);
    const std::int64_t until =
        std::clamp(wall_ms, whole.from_ms, whole.until_ms);
    if (until > part.range.until_ms) {
      part.range.until_ms = until;
      part.is_changed = true;
    }
  }
}

void OwnCounts::LimitMemory() {
  const auto limit = static_cast<std::size_t>(settings_.maximum_buckets);
  while (buckets_.size() > limit) {
    auto oldest = buckets_.begin();
    if (oldest->first == CurrentBucket()) {
      ++oldest;
    }
    const Part part = std::move(oldest->second);
    next_parts_[oldest->first] = part.key.part + 1;
    buckets_.erase(oldest);
    // Everything that is not known to be in the store is dropped.
    Cells lost = part.cells;
    Subtract(part.acknowledged.cells, lost);
    const bool is_stored = part.version != store::kAbsent;
    RecordLoss(lost, {is_stored ? part.acknowledged.range.until_ms
                                : part.range.from_ms,
                      part.range.until_ms});
    for (const Gap& gap : part.gaps) {
      if (!Contains(part.acknowledged.gaps, gap)) {
        AddGap(gap, PartFor(CurrentBucket()).gaps);
      }
    }
  }
}

void OwnCounts::RecordLoss(const Cells& lost, WallRange range) {
  // NOTE: a gap of no length would vanish from every window.
  range.until_ms = std::max(range.until_ms, range.from_ms + 1);
  Part& current = PartFor(CurrentBucket());
  Gap gap{current.key.writer, range, {}};
  CountAsked(lost, gap.requests);
  AddGap(gap, current.gaps);
  current.is_changed = true;
}

OwnCounts::Part* OwnCounts::FindPart(const std::string& key) {
  for (auto& [bucket, part] : buckets_) {
    if (part.key.ToString() == key) {
      return &part;
    }
  }
  return nullptr;
}

bool OwnCounts::IsOnlyPartLeft(const Part& part) const {
  return buckets_.size() == 1 &&
         buckets_.begin()->second.key.bucket == part.key.bucket;
}

// The store must hold an open part as long as the incarnation runs, so that a
// crash is noticed. Therefore the current part is closed last, and other parts
// are closed only after the current part has been written.
bool OwnCounts::MayClose(const Part& part, bool is_stopping) const {
  const std::int64_t current = CurrentBucket();
  if (part.key.bucket == current) {
    return is_stopping && IsOnlyPartLeft(part);
  }
  const auto found = buckets_.find(current);
  if (found == buckets_.end() || found->second.version == store::kAbsent) {
    return is_stopping && found == buckets_.end() && IsOnlyPartLeft(part);
  }
  const std::int64_t end_ms = RangeOfBucket(part.key.bucket).until_ms;
  return is_stopping ||
         clock_.WallMilliseconds() >= end_ms + ToMs(settings_.longest_request);
}

Segment OwnCounts::MakeSegment(const Part& part, bool is_stopping) const {
  Segment segment;
  segment.writer = part.key.writer;
  segment.nonce = nonce_;
  segment.sequence = part.sequence + 1;
  segment.range = part.range;
  segment.is_closed = MayClose(part, is_stopping);
  segment.is_last = segment.is_closed && is_stopping && IsOnlyPartLeft(part);
  segment.is_after_seal = part.is_after_seal;
  segment.clock_step_ms = clock_step_ms_;
  segment.cells = part.cells;
  segment.gaps = part.gaps;
  return segment;
}

std::optional<PendingWrite> OwnCounts::NextWrite(bool is_stopping) {
  const auto is_due = [&](const Part& part) {
    const bool is_wanted = part.is_changed || MayClose(part, is_stopping);
    return is_wanted && !part.is_in_doubt;
  };
  // Write the current part first, because it shows that this incarnation is
  // running; then the oldest part.
  Part* next = nullptr;
  const auto current = buckets_.find(CurrentBucket());
  if (current != buckets_.end() && is_due(current->second)) {
    next = &current->second;
  }
  for (auto& [bucket, part] : buckets_) {
    if (next == nullptr && is_due(part)) {
      next = &part;
    }
  }
  if (next == nullptr) {
    return std::nullopt;
  }
  next->attempted = MakeSegment(*next, is_stopping);
  next->attempted_wall_ms = clock_.WallMilliseconds();
  next->sequence = next->attempted->sequence;
  next->is_changed = false;
  return PendingWrite{next->key.ToString(), *next->attempted, next->version};
}

std::optional<std::string> OwnCounts::NextKeyInDoubt() const {
  for (const auto& [bucket, part] : buckets_) {
    if (part.is_in_doubt) {
      return part.key.ToString();
    }
  }
  return std::nullopt;
}

void OwnCounts::DidWrite(const std::string& key, std::int64_t version) {
  Part* const part = FindPart(key);
  if (part == nullptr || !part->attempted) {
    return;
  }
  part->version = version;
  part->acknowledged = *std::exchange(part->attempted, std::nullopt);
  if (part->acknowledged.is_closed) {
    const Segment final = part->acknowledged;
    DidEnd(*part, final, false);
  }
}

void OwnCounts::DidNotWrite(const std::string& key) {
  Part* const part = FindPart(key);
  if (part != nullptr) {
    part->attempted.reset();
    part->is_changed = true;
  }
}

void OwnCounts::MarkInDoubt(const std::string& key) {
  Part* const part = FindPart(key);
  if (part != nullptr) {
    part->is_in_doubt = true;
  }
}

void OwnCounts::DidReadBack(const std::string& key,
                            const Segment& found,
                            std::int64_t version) {
  Part* const part = FindPart(key);
  if (part == nullptr) {
    return;
  }
  if (found.nonce != nonce_) {
    // Another process has the same name and incarnation. Keep its counts and
    // write this process's counts under the next key.
    StartNextPart(*part);
    return;
  }
  part->is_in_doubt = false;
  part->attempted.reset();
  part->version = version;
  part->acknowledged = found;
  part->is_changed = true;
  if (found.is_closed) {
    DidEnd(*part, Segment(found), found.is_sealed);
  }
}

void OwnCounts::DidReadAbsent(const std::string& key,
                              std::optional<std::int64_t> rolled_up) {
  Part* const part = FindPart(key);
  if (part == nullptr) {
    return;
  }
  part->is_in_doubt = false;
  part->is_changed = true;
  if (rolled_up && part->attempted && part->attempted->sequence == *rolled_up) {
    DidEnd(*part, Segment(*part->attempted), true);
    return;
  }
  if (rolled_up) {
    DidEnd(*part, Segment(part->acknowledged), true);
    return;
  }
  const bool was_never_written = part->version == store::kAbsent;
  const bool is_recent =
      clock_.WallMilliseconds() - part->attempted_wall_ms < kSourcesKeptMs;
  if (was_never_written && is_recent) {
    part->attempted.reset();
    return;
  }
  DidExpireInDoubt(*part);
}

// From now on every segment states the time that it covers, because the VM that
// sealed the segment has recorded a gap that did not exist.
void OwnCounts::DidFindSeal() {
  was_sealed_ = true;
  for (auto& [bucket, part] : buckets_) {
    part.is_after_seal = true;
    part.is_changed = true;
  }
}

// The roll-up may or may not contain the counts that the last attempt added.
// They are dropped, so that they are neither counted twice nor counted as good.
void OwnCounts::DidExpireInDoubt(Part& part) {
  if (!part.attempted) {
    DidEnd(part, Segment(part.acknowledged), true);
    return;
  }
  const Segment final = *part.attempted;
  Cells lost = final.cells;
  Subtract(part.acknowledged.cells, lost);
  const bool is_stored = part.version != store::kAbsent;
  const WallRange range{
      is_stored ? part.acknowledged.range.until_ms : final.range.from_ms,
      final.range.until_ms};
  DidEnd(part, final, true);
  RecordLoss(lost, range);
}

void OwnCounts::DidEnd(Part& part, const Segment& final, bool is_sealed) {
  if (is_sealed) {
    DidFindSeal();
  }
  // 1. Remove the counts that the store holds.
  Subtract(final.cells, part.cells);
  std::erase_if(part.gaps,
                [&final](const Gap& gap) { return Contains(final.gaps, gap); });
  part.range.from_ms = std::min(final.range.until_ms, part.range.until_ms);
  next_parts_[part.key.bucket] = part.key.part + 1;
  // 2. If nothing is left to write, drop the bucket.
  const bool is_covered = !is_sealed || part.range.length_ms() == 0;
  const bool is_current = part.key.bucket == CurrentBucket();
  if (part.cells.empty() && part.gaps.empty() && is_covered &&
      (!is_current || final.is_last)) {
    buckets_.erase(part.key.bucket);
    return;
  }
  // 3. Move the remaining counts to the next part.
  StartNextPart(part);
}

void OwnCounts::StartNextPart(Part& part) {
  part.key.part += 1;
  part.sequence = 0;
  part.version = store::kAbsent;
  part.acknowledged = Segment{};
  part.attempted.reset();
  part.is_in_doubt = false;
  part.is_changed = true;
}

std::map<std::string, Segment> OwnCounts::Segments() const {
  std::map<std::string, Segment> segments;
  for (const auto& [bucket, part] : buckets_) {
    segments[part.key.ToString()] = MakeSegment(part, false);
  }
  return segments;
}

}  // namespace medlarspread::burn
