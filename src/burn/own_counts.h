// The counts of this VM incarnation: absolute totals per bucket of ten minutes,
// and what is known of each bucket's value in the store. Makes no calls itself:
// count_writer.h makes them and reports their results back here.
//
// Invariant: a request is in exactly one part of its bucket. A part that was
// closed, by this VM or by another one that considered this VM gone, is final;
// later counts go to the next part, which has another key.

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

  // Adds counts taken from the traffic threads. Everything up to now counts as
  // covered.
  void Collect(const Cells& cells);

  // Returns the next write that is due, if any. The caller must report its
  // outcome before it calls this again.
  std::optional<PendingWrite> NextWrite(bool is_stopping);
  // Returns a key in doubt, whose value must be read back before the next
  // write.
  std::optional<std::string> NextKeyInDoubt() const;

  void DidWrite(const std::string& key, std::int64_t version);
  // The write certainly did not take effect.
  void DidNotWrite(const std::string& key);
  // The write may have taken effect, or the key's version is not the expected
  // one.
  void MarkInDoubt(const std::string& key);

  // Takes the value of a key in doubt as read back from the store.
  void DidReadBack(const std::string& key,
                   const Segment& found,
                   std::int64_t version);
  // The key in doubt does not exist. `rolled_up` is the sequence number with
  // which the roll-up of its hour contains it, if it does.
  void DidReadAbsent(const std::string& key,
                     std::optional<std::int64_t> rolled_up);

  // Returns this incarnation's segments as they would be written now.
  std::map<std::string, Segment> Segments() const;

  // Whether everything is written and closed; true only after stopping.
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
    // Counts that were dropped because of the memory limit or because it is
    // unknown whether they were stored.
    std::vector<Gap> gaps;
    // Sequence number of the last attempted write.
    std::int64_t sequence = 0;
    // Version and value of the last write that is known to have taken effect.
    std::int64_t version = 0;
    Segment acknowledged;
    // A write in progress or in doubt.
    std::optional<Segment> attempted;
    std::int64_t attempted_wall_ms = 0;
    bool is_in_doubt = false;
    // A write is needed even if no counts were added.
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
  // The part was rolled up so long ago that its sources are no longer listed.
  void DidExpireInDoubt(Part& part);
  // Moves the contents of `part` to the next key.
  void StartNextPart(Part& part);
  // The part's value in the store is `final` and will not change any more.
  void DidEnd(Part& part, const Segment& final, bool is_sealed);
  // Records a gap in the current part: the counts `lost` of `range` cannot be
  // written.
  void RecordLoss(const Cells& lost, WallRange range);

  const BurnSettings settings_;
  const base::Clock clock_;
  const std::int64_t nonce_;
  const std::int64_t start_wall_ms_;
  // Wall time minus monotonic time when last checked.
  std::int64_t clock_difference_ms_ = 0;
  std::int64_t clock_step_ms_ = 0;
  // At most one open part for each bucket, by bucket.
  std::map<std::int64_t, Part> buckets_;
  // The part number for late counts of a bucket. Holds one small entry per ten
  // minutes that this incarnation has run.
  std::map<std::int64_t, std::int64_t> next_parts_;
  // Set once another VM has sealed a segment of this incarnation.
  bool was_sealed_ = false;
};

}  // namespace medlarspread::burn

#endif  // MEDLARSPREAD_BURN_OWN_COUNTS_H_
