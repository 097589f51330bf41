// One shard of a fanned-out request: what was sent for it, and what came of it.

#ifndef MEDLARSPREAD_QUERY_FAN_OUT_SHARD_H_
#define MEDLARSPREAD_QUERY_FAN_OUT_SHARD_H_

#include <algorithm>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "src/admission/extra_send_budget.h"
#include "src/base/clock.h"
#include "src/base/name_table.h"
#include "src/blackboard/views.h"
#include "src/upstream/forward_port.h"

namespace medlarspread::query {

enum class ShardState { kOpen, kAnswered, kFailed };

// What kept a shard from being sent to one more leaf, the last time that was
// due.
enum class SendObstacle {
  kNone,
  // All leaves were sent to already, or none is known.
  kNoLeaf,
  // The others have no connection free, or would answer late.
  kNoRoom,
  kBudgetUsedUp,
  // The route allows no further leaf.
  kAttemptsUsedUp,
  // Too little time was left.
  kTooLate,
  // The request ends the leaves that run it.
  kQuarantined,
};

inline constexpr base::NameTable<SendObstacle, 7> kSendObstacleNames{{{
    {SendObstacle::kNone, "none"},
    {SendObstacle::kNoLeaf, "no_leaf"},
    {SendObstacle::kNoRoom, "no_room"},
    {SendObstacle::kBudgetUsedUp, "budget_used_up"},
    {SendObstacle::kAttemptsUsedUp, "attempts_used_up"},
    {SendObstacle::kTooLate, "too_late"},
    {SendObstacle::kQuarantined, "quarantined"},
}}};

// Why a shard is sent to a leaf.
enum class SendCause {
  // Nothing was sent for it yet.
  kFirst,
  // The send before did not leave this daemon, so this one takes its place.
  kUnsent,
  // The reply is overdue at the leaf that has it.
  kOverdue,
  // The leaf that had it failed.
  kFailed,
  // A leaf that refused for want of room is asked again.
  kRefused,
  // It had to wait for a leaf, or for the trial of a suspect to end.
  kWaited,
};

inline constexpr base::NameTable<SendCause, 6> kSendCauseNames{{{
    {SendCause::kFirst, "first"},
    {SendCause::kUnsent, "unsent"},
    {SendCause::kOverdue, "overdue"},
    {SendCause::kFailed, "failed"},
    {SendCause::kRefused, "refused"},
    {SendCause::kWaited, "waited"},
}}};

// One send to one leaf.
struct ShardAttempt {
  blackboard::Upstream leaf;
  SendCause cause = SendCause::kFirst;
  // Absent if it was free.
  std::optional<admission::Allowance> paid;
  base::MonotonicTime sent;
  // When a connection for a second send is opened, so that it is there in
  // time.
  base::MonotonicTime prepare;
  // When a second send to another leaf pays.
  base::MonotonicTime overdue;
  upstream::SentCall call;
  bool is_finished = false;
  bool was_prepared = false;
  bool was_overdue = false;
  // The leaf is known to be late with it, whether a second send went out or
  // not.
  bool is_known_late = false;
  // It was sent alone, to see whether its leaf lives through it.
  bool is_trial = false;
};

struct FanOutShard {
  std::string collection;
  ShardState state = ShardState::kOpen;
  std::vector<std::shared_ptr<ShardAttempt>> attempts;
  // Leaves that are not sent to again.
  std::set<std::string> excluded;
  // Leaves that refused for want of room: they may be sent to again, and are
  // no further leaves then.
  std::set<std::string> refused;
  // The request counts for what the collection's budget earns.
  bool has_earned = false;
  // Leaves that the shard reached, or may have.
  int leaves = 0;
  int sends = 0;
  // When to send again after a refusal; zero if that is not planned.
  base::MonotonicTime again_at;
  SendObstacle obstacle = SendObstacle::kNone;
  // No leaf had room; the shard waits for one.
  bool is_waiting = false;
  upstream::ForwardReply reply;

  // Sends that have not ended.
  int running() const {
    return static_cast<int>(std::count_if(
        attempts.begin(), attempts.end(),
        [](const auto& attempt) { return !attempt->is_finished; }));
  }

  // Whether a send that has not ended may have reached its leaf.
  bool may_be_running() const {
    return std::any_of(
        attempts.begin(), attempts.end(), [](const auto& attempt) {
          return !attempt->is_finished && attempt->call.has_left();
        });
  }

  // When the latest send has to be looked at: its second send is prepared or
  // due. `otherwise` if there is nothing to wait for.
  base::MonotonicTime SecondSendDue(base::MonotonicTime otherwise) const {
    if (attempts.empty() || attempts.back()->is_finished ||
        attempts.back()->was_overdue) {
      return otherwise;
    }
    const ShardAttempt& latest = *attempts.back();
    return latest.was_prepared ? latest.overdue : latest.prepare;
  }
};

}  // namespace medlarspread::query

#endif  // MEDLARSPREAD_QUERY_FAN_OUT_SHARD_H_
