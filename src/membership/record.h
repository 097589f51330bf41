// What the daemons tell each other of one VM, and which of two such records
// goes before the other.
//
// A record is ordered by incarnation, then by its heartbeat count, then by
// state. A VM raises its count only to contradict a record that calls it gone.
// So a record that calls it gone wins over all that was known of it before, and
// a VM that is alive can always win it back.

#ifndef MEDLARSPREAD_MEMBERSHIP_RECORD_H_
#define MEDLARSPREAD_MEMBERSHIP_RECORD_H_

#include "src/blackboard/views.h"
#include "src/peer/gen/peer_types.h"

namespace medlarspread::membership {

using Record = peer::wire::MemberRecord;

// The wire carries the index. A suspected record is a question, "who has heard
// this VM lately?"; it is answered but never kept.
enum class RecordState { kLive, kLeaving, kSuspected, kGone };

// The wire carries the index.
enum class HeartbeatKind {
  // Needs no reply.
  kNews,
  // To be answered at once with kAnswer, or kTable if the table is wanted.
  kProbe,
  kAnswer,
  // Carries the whole table of the sender.
  kTable,
};

// Values that this version doesn't know count as kNews and kSuspected: neither
// changes anything.
HeartbeatKind KindOf(const peer::wire::Heartbeat& heartbeat);
RecordState StateOf(const Record& record);
void SetState(Record& record, RecordState state);

const char* RecordStateName(RecordState state);

// Live or leaving.
bool IsPresent(const Record& record);

// Whether `candidate` goes before `known`. Both are of the same VM.
bool IsNewer(const Record& candidate, const Record& known);

// The record as the rest of the daemon sees it.
blackboard::Member ToMember(const Record& record);

}  // namespace medlarspread::membership

#endif  // MEDLARSPREAD_MEMBERSHIP_RECORD_H_
