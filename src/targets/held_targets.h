// The targets that this daemon has in force, and the rule that guards them:
// only a higher revision replaces them, wherever it comes from.

#ifndef MEDLARSPREAD_TARGETS_HELD_TARGETS_H_
#define MEDLARSPREAD_TARGETS_HELD_TARGETS_H_

#include <cstdint>
#include <optional>
#include <string>

#include "src/base/clock.h"
#include "src/base/log.h"
#include "src/blackboard/blackboard.h"
#include "src/blackboard/cell.h"
#include "src/store/store.h"
#include "src/targets/targets_alarms.h"
#include "src/targets/targets_record.h"

namespace medlarspread::targets {

// What became of targets that were offered.
enum class OfferOutcome {
  // Higher: now in force.
  kApplied,
  // The very targets in force.
  kSame,
  // Lower: kept out.
  kLower,
  // Lower, but read before the one in force was there: kept out, no alarm.
  kStale,
  // Other targets under the revision in force: kept out, an alarm.
  kDigestConflict,
  // Not readable: kept out.
  kMalformed,
};

// Used on the control sequence, but for alarms().
class HeldTargets {
 public:
  HeldTargets(base::Clock clock,
              blackboard::Blackboard& blackboard,
              base::Log log);

  // Targets from a peer or from a change made here. `origin` is the VM.
  OfferOutcome Offer(const std::string& body, const std::string& origin);

  // What the store held under the key when it was asked, and the revision that
  // was in force here at that time. A revision below the latter, or none, is
  // what a restore leaves behind: kept out and an alarm until it is gone.
  OfferOutcome DidReadStore(const std::optional<store::Entry>& entry,
                            std::int64_t revision_at_call);
  void DidFailToReadStore(const base::Error& error);
  // Another daemon reads from now on: the alarms about the store are its own.
  void DidStopReadingStore();

  // A peer that has nothing stored either counts as a source: the empty record
  // becomes known, unless something else is.
  void DidFindNoTargets();

  // A peer holds other targets under the revision in force.
  void DidSeeOtherDigest(const std::string& peer);

  // Whether anything has been learnt, be it the empty record.
  bool is_known() const { return is_known_; }
  std::int64_t revision() const { return record_.revision; }
  std::int64_t digest() const { return digest_; }
  const TargetsRecord& record() const { return record_; }
  // As stored; empty at revision 0.
  const std::string& body() const { return body_; }

  // Safe to use from any thread.
  TargetsAlarms alarms() const { return *alarms_.Read(); }

 private:
  void Apply(TargetsRecord record, std::string body, const std::string& origin);
  void WriteView();
  void DidRejectLower(std::int64_t store_revision);
  void ClearStoreAlarms();
  void Warn(const std::string& peer, std::string message) const;

  const base::Clock clock_;
  blackboard::Blackboard& blackboard_;
  const base::Log log_;

  // Invariant: record_.revision never decreases; body_ decodes to record_ and
  // digest_ is its digest (0 while nothing is known).
  bool is_known_ = false;
  TargetsRecord record_;
  std::string body_;
  std::int64_t digest_ = 0;
  blackboard::Cell<TargetsAlarms> alarms_;
};

}  // namespace medlarspread::targets

#endif  // MEDLARSPREAD_TARGETS_HELD_TARGETS_H_
