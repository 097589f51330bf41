// What one daemon knows of one leaf, and the rules that combine sources which
// may lag, be wrong or contradict each other. Has no clock of its own; each
// call gets the time. The precedence of sources is
//
//   1. the leaf's own replies,
//   2. its health, unless a reply that is not clearly older contradicts it,
//   3. the platform's list, and reports from peers.
//
// Draining is the exception: a report from any source counts at once, and only
// newer evidence after a hold time clears it.

#ifndef MEDLARSPREAD_UPSTREAM_UPSTREAM_RECORD_H_
#define MEDLARSPREAD_UPSTREAM_UPSTREAM_RECORD_H_

#include <limits>
#include <vector>

#include "src/base/clock.h"
#include "src/base/result.h"
#include "src/blackboard/views.h"
#include "src/store/store.h"
#include "src/upstream/leaf_message.h"
#include "src/upstream/leaf_port.h"
#include "src/upstream/upstream_settings.h"

namespace medlarspread::upstream {

class UpstreamRecord {
 public:
  // `settings` must outlive the record.
  UpstreamRecord(const UpstreamSettings& settings,
                 const store::Vm& vm,
                 base::MonotonicTime now);

  // The list has a row for this leaf. A row with another address means that
  // another VM took over the name; all state of the previous VM is dropped.
  void DidList(const store::Vm& vm, base::MonotonicTime now);
  void DidReply(const LeafReply& reply, base::MonotonicTime now);
  // `asked` is the time of the health request.
  void DidReadHealth(const base::Result<LeafHealth>& health,
                     base::MonotonicTime asked,
                     base::MonotonicTime now);
  // A peer learned at `heard` that the leaf is draining.
  void DidHearDraining(base::MonotonicTime heard, base::MonotonicTime now);
  // Clears old draining, unreachable and cold states of a leaf whose health
  // this daemon doesn't read, since it could never see such a leaf recover.
  void ExpireUnreadStates(base::MonotonicTime now);

  // Whether only health would show a change soon: the leaf is not serving, or
  // has not answered within the last health interval.
  bool NeedsFrequentHealthReads(base::MonotonicTime now) const;
  // Whether the leaf is no longer listed and shows no sign of being alive.
  bool ShouldForget(base::MonotonicTime now) const;
  // Whether this daemon itself learned, from reply, health or list, that the
  // leaf is draining and has not announced it yet. Resets the mark.
  bool TakeAnnouncement(base::MonotonicTime now);

  const blackboard::Upstream& upstream() const { return upstream_; }

 private:
  static constexpr base::MonotonicTime kNever{
      std::numeric_limits<std::int64_t>::min() / 2};

  void DidFailToConnect(base::MonotonicTime now);
  void DidFailWithoutReply(base::MonotonicTime now);
  void DidSeeState(blackboard::UpstreamState state, base::MonotonicTime now);
  void ApplyHealth(const LeafHealth& health,
                   base::MonotonicTime asked,
                   base::MonotonicTime now);
  void ApplyHealthState(blackboard::UpstreamState state,
                        base::MonotonicTime asked,
                        base::MonotonicTime now);
  void ApplyHealthHoldings(const LeafHealth& health, base::MonotonicTime now);
  void MarkDraining(base::MonotonicTime heard, base::MonotonicTime now);
  void MarkUnreachable(base::MonotonicTime now);
  void MarkCold(base::MonotonicTime now);
  void ClearDrainingAfterHold(base::MonotonicTime seen,
                              base::MonotonicTime now);
  void UpdateState();

  const UpstreamSettings* settings_;
  // `state` is derived from the members below; see UpdateState().
  blackboard::Upstream upstream_;

  bool is_listed_leaving_ = false;
  base::MonotonicTime last_listed_ = kNever;
  // The last reply or health read that came from the leaf itself.
  base::MonotonicTime last_alive_ = kNever;
  // The last reply that stated serving or cold.
  base::MonotonicTime last_working_reply_ = kNever;
  base::MonotonicTime last_cold_reply_ = kNever;

  bool is_draining_ = false;
  // Invariant: last_draining_ is the latest time at which the leaf was reported
  // to be draining.
  base::MonotonicTime last_draining_ = kNever;
  base::MonotonicTime draining_cleared_ = kNever;
  base::Duration draining_hold_;
  bool has_announcement_ = false;
  base::MonotonicTime last_announced_ = kNever;

  bool is_unreachable_ = false;
  base::MonotonicTime unreachable_since_ = kNever;
  base::Duration unreachable_hold_;
  int connection_failures_ = 0;
  int no_reply_failures_ = 0;
  base::MonotonicTime first_no_reply_failure_ = kNever;
  int health_failures_ = 0;

  bool is_cold_ = false;
  base::MonotonicTime holdings_replied_ = kNever;
};

}  // namespace medlarspread::upstream

#endif  // MEDLARSPREAD_UPSTREAM_UPSTREAM_RECORD_H_
