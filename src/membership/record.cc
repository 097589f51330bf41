// The order of records and their conversion for the blackboard.

#include "src/membership/record.h"

#include <tuple>

#include "src/base/name_table.h"

namespace medlarspread::membership {

namespace {

constexpr base::NameTable<RecordState, 4> kRecordStateNames{{{
    {RecordState::kLive, "live"},
    {RecordState::kLeaving, "leaving"},
    {RecordState::kSuspected, "suspected"},
    {RecordState::kGone, "gone"},
}}};

blackboard::MemberState ToMemberState(RecordState state) {
  switch (state) {
    case RecordState::kLive:
      return blackboard::MemberState::kLive;
    case RecordState::kLeaving:
      return blackboard::MemberState::kLeaving;
    case RecordState::kSuspected:
    case RecordState::kGone:
      return blackboard::MemberState::kGone;
  }
  return blackboard::MemberState::kGone;
}

}  // namespace

HeartbeatKind KindOf(const peer::wire::Heartbeat& heartbeat) {
  if (heartbeat.kind < 0 ||
      heartbeat.kind > static_cast<int>(HeartbeatKind::kTable)) {
    return HeartbeatKind::kUpdate;
  }
  return static_cast<HeartbeatKind>(heartbeat.kind);
}

RecordState StateOf(const Record& record) {
  if (record.state < 0 || record.state > static_cast<int>(RecordState::kGone)) {
    return RecordState::kSuspected;
  }
  return static_cast<RecordState>(record.state);
}

void SetState(Record& record, RecordState state) {
  record.state = static_cast<int>(state);
}

const char* RecordStateName(RecordState state) {
  return kRecordStateNames.NameOf(state);
}

bool IsPresent(const Record& record) {
  const RecordState state = StateOf(record);
  return state == RecordState::kLive || state == RecordState::kLeaving;
}

bool IsNewer(const Record& candidate, const Record& known) {
  return std::tuple(candidate.incarnation, candidate.heartbeat,
                    StateOf(candidate)) >
         std::tuple(known.incarnation, known.heartbeat, StateOf(known));
}

blackboard::Member ToMember(const Record& record) {
  return {.name = record.name,
          .address = record.address,
          .region = record.region,
          .failure_domain = record.failure_domain,
          .incarnation = record.incarnation,
          .state = ToMemberState(StateOf(record)),
          .targets_revision = record.targets_revision};
}

}  // namespace medlarspread::membership
