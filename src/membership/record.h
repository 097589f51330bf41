// The record of one VM that daemons exchange, and the order of two such
// records.
//
// Records are ordered by incarnation, then heartbeat count, then state. A VM
// increases its count only to refute a record that calls it suspected or gone.
// So a record that calls a VM gone replaces all older ones, and a VM that is
// alive can always replace it in turn.

#ifndef MEDLARSPREAD_MEMBERSHIP_RECORD_H_
#define MEDLARSPREAD_MEMBERSHIP_RECORD_H_

#include "src/blackboard/views.h"
#include "src/peer/gen/peer_types.h"

namespace medlarspread::membership {

using Record = peer::wire::MemberRecord;

// The index is sent on the wire. A record with state kSuspected is a request to
// probe the VM; it is answered but never stored.
enum class RecordState { kLive, kLeaving, kSuspected, kGone };

// The index is sent on the wire.
enum class HeartbeatKind {
  // Needs no reply.
  kUpdate,
  // Must be answered at once with kAnswer, or with kTable if `wants_table` is
  // set.
  kProbe,
  kAnswer,
  // Carries the sender's whole table.
  kTable,
};

// Values unknown to this version are treated as kUpdate and kSuspected, which
// change nothing.
HeartbeatKind KindOf(const peer::wire::Heartbeat& heartbeat);
RecordState StateOf(const Record& record);
void SetState(Record& record, RecordState state);

const char* RecordStateName(RecordState state);

// Live or leaving.
bool IsPresent(const Record& record);

// Whether `candidate` replaces `known`. Both describe the same VM.
bool IsNewer(const Record& candidate, const Record& known);

// The record in the form that the other modules use.
blackboard::Member ToMember(const Record& record);

}  // namespace medlarspread::membership

#endif  // MEDLARSPREAD_MEMBERSHIP_RECORD_H_
