// The counts of this VM incarnation: absolute totals per bucket of ten minutes,
// and what is known of each bucket's value in the store. Pure: count_writer.h
// makes the calls and reports back here.
//
// Invariant: a request is in exactly one part of its bucket. A part that is
// closed, by this VM or by another one that took it for gone, is final; what
// comes later goes to the next part, under another key.

#ifndef MEDLARSPREAD_BURN_OWN_COUNTS_H_
#define MEDLARSPREAD_BURN_OWN_COUNTS_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "src/base/clock.h"
#include "src/burn/burn_settings.h"
#include "src/burn/keys.h"
#include "src/burn/segment.h"

namespace medlarspread::burn {

// One compare-and-swap to make.
struct PendingWrite {
  std::string key;
  Segment segment;
  std::int64_t expected_version = 0;
};

class OwnCounts {
 public:
  OwnCounts(const BurnSettings& settings,
            base::Clock clock,
            std::int64_t nonce);

  // Adds counts that the traffic threads have taken. What is recorded so far is
  // covered up to now.
  void Collect(const Cells& cells);

  // The next write that is due, if any. The caller has to report its outcome
  // before it asks again.
  std::optional<PendingWrite> NextWrite(bool is_stopping);
  // A key whose value has to be read before it is written again.
  std::optional<std::string> NextDoubt() const;

  void DidWrite(const std::string& key, std::int64_t version);
  // Certainly nothing was written.
  void DidNotWrite(const std::string& key);
  // It may have been written, or the key's version is not the expected one.
  void DidDoubt(const std::string& key);

  // The value of a key in doubt, as read back.
  void DidReadBack(const std::string& key,
                   const Segment& found,
                   std::int64_t version);
  // The key in doubt does not exist, and `rolled_up` says with which sequence
  // it is contained in the roll-up of its hour, if it is.
  void DidReadAbsent(const std::string& key,
                     std::optional<std::int64_t> rolled_up);

  // This incarnation's segments as they would be written now.
  std::map<std::string, Segment> Segments() const;

  // Whether everything is written and closed; only after stopping.
  bool is_finished() const { return buckets_.empty(); }

  std::int64_t clock_step_ms() const { return clock_step_ms_; }
  std::size_t bucket_count() const { return buckets_.size(); }

 private:
  struct Part {
    RawKey key;
    // Counts of this part, stored or not.
    Cells cells;
    WallRange range;
    bool is_after_seal = false;
    // Counts given up for want of memory or of certainty.
    std::vector<Gap> gaps;
    // Of the last write tried.
    std::int64_t sequence = 0;
    // Of the last write that is known to have taken effect.
    std::int64_t version = 0;
    Segment acknowledged;
    // A write under way or in doubt.
    std::optional<Segment> attempted;
    std::int64_t attempted_wall_ms = 0;
    bool is_in_doubt = false;
    // Something is to be written although no counts came since.
    bool is_changed = true;
  };

  std::int64_t CurrentBucket() const;
  Part& PartFor(std::int64_t bucket);
  Part* FindPart(const std::string& key);
  void NoteClockStep();
  void Cover(std::int64_t wall_ms);
  void LimitMemory();
  bool MayClose(const Part& part, bool is_stopping) const;
  bool IsOnlyPartLeft(const Part& part) const;
  Segment MakeSegment(const Part& part, bool is_stopping) const;
  void DidFindSeal();
  // It was rolled up so long ago that its sources are no longer listed.
  void DidEndUnseen(Part& part);
  // What is in `part` goes under the next key from now on.
  void StartNextPart(Part& part);
  // The part's value in the store is `final` and will not change any more.
  void DidEnd(Part& part, const Segment& final, bool is_sealed);
  // Notes in the current part that `lost` was counted in `range` and cannot
  // be written.
  void GiveUp(const Cells& lost, WallRange range);

  const BurnSettings settings_;
  const base::Clock clock_;
  const std::int64_t nonce_;
  const std::int64_t start_wall_ms_;
  // Wall time minus monotonic time at the last look.
  std::int64_t clock_difference_ms_ = 0;
  std::int64_t clock_step_ms_ = 0;
  // At most one open part for each bucket, by bucket.
  std::map<std::int64_t, Part> buckets_;
  // The part that late counts of a bucket go to. One small entry for each ten
  // minutes that this incarnation has run.
  std::map<std::int64_t, std::int64_t> next_parts_;
  // Set once another VM has sealed a segment of this incarnation.
  bool was_sealed_ = false;
};

}  // namespace medlarspread::burn

#endif  // MEDLARSPREAD_BURN_OWN_COUNTS_H_
