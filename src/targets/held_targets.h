// Holds the targets that this daemon has in force. Only a higher revision
// replaces them, whatever its origin.

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

// The result of offering targets.
enum class OfferOutcome {
  // A higher revision: now in force.
  kApplied,
  // Identical to the targets in force.
  kSame,
  // A lower revision: rejected.
  kLower,
  // A lower revision, but read before the one in force was applied: rejected
  // without an alarm.
  kStale,
  // Different targets under the revision in force: rejected, with an alarm.
  kDigestConflict,
  // Malformed: rejected.
  kMalformed,
};

// Used on the control sequence only, except for alarms().
class HeldTargets {
 public:
  HeldTargets(base::Clock clock,
              blackboard::Blackboard& blackboard,
              base::Log log);

  // Offers targets from a peer or from a change made here. `origin` is the VM.
  OfferOutcome Offer(const std::string& body, const std::string& origin);

  // Offers the store's entry. `revision_at_call` is the revision that was in
  // force here when the read was sent. A lower revision, or no entry, means
  // that the store was restored: it is rejected, with an alarm until it is
  // gone.
  OfferOutcome DidReadStore(const std::optional<store::Entry>& entry,
                            std::int64_t revision_at_call);
  void DidFailToReadStore(const base::Error& error);
  // This daemon no longer reads the store; clears the alarms about the store,
  // which its readers raise themselves.
  void DidStopReadingStore();

  // The store, or a peer, has no targets. The empty record becomes known unless
  // another one is.
  void DidFindNoTargets();

  // A peer has different targets under the revision in force.
  void DidSeeOtherDigest(const std::string& peer);

  // Whether any record is known, even if it is the empty one.
  bool is_known() const { return is_known_; }
  std::int64_t revision() const { return record_.revision; }
  std::int64_t digest() const { return digest_; }
  const TargetsRecord& record() const { return record_; }
  // The stored text; empty at revision 0.
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
