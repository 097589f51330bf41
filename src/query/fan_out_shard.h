// State of one shard of a fanned-out request: its sends and their results.

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

// Why a shard was not sent to one more leaf when that was last due.
enum class SendObstacle {
  kNone,
  // The shard was sent to all known leaves already, or none is known.
  kNoLeaf,
  // The remaining leaves have no free connection or are expected to answer too
  // late.
  kNoRoom,
  kBudgetUsedUp,
  // The route allows no further leaf.
  kAttemptsUsedUp,
  // Too little time was left.
  kTooLate,
  // The quarantine blocks the request because leaf processes crashed while
  // executing it.
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
  // The first send of the shard.
  kFirst,
  // Replaces a send that never left this daemon.
  kUnsent,
  // The reply of an earlier leaf is overdue (a hedged send).
  kOverdue,
  // An earlier leaf failed.
  kFailed,
  // Retry at a leaf that refused for lack of capacity.
  kRefused,
  // The shard had to wait for a usable leaf or for the trial of a suspect
  // request to end.
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
  // The allowance that paid for the send; absent if none was needed.
  std::optional<admission::Allowance> paid;
  base::MonotonicTime sent;
  // When to start opening a connection for a possible second send.
  base::MonotonicTime prepare;
  // When the reply counts as overdue and a second send is worthwhile.
  base::MonotonicTime overdue;
  upstream::SentCall call;
  // The number of the connection, for the log; zero if there was none.
  std::int64_t connection = 0;
  bool is_finished = false;
  bool was_prepared = false;
  bool was_overdue = false;
  // The reply is known to be late, whether or not a second send was started.
  bool is_known_late = false;
  // The send is a trial: no other send runs until it has shown whether the leaf
  // survives the request.
  bool is_trial = false;
};

struct FanOutShard {
  std::string collection;
  ShardState state = ShardState::kOpen;
  std::vector<std::shared_ptr<ShardAttempt>> attempts;
  // Names of leaves that the shard is not sent to again.
  std::set<std::string> excluded;
  // Names of leaves that refused for lack of capacity. They may be retried, and
  // a retry does not count as one more leaf.
  std::set<std::string> refused;
  // Whether this shard was already credited to the collection's budget of extra
  // sends.
  bool is_credited = false;
  // The number of leaves that received the shard, or may have.
  int leaves = 0;
  int sends = 0;
  // When to retry after a refusal; zero if no retry is scheduled.
  base::MonotonicTime retry_at;
  SendObstacle obstacle = SendObstacle::kNone;
  // No leaf had capacity; the shard is waiting for one.
  bool is_waiting = false;
  upstream::ForwardReply reply;

  // The number of sends in progress.
  int running() const {
    return static_cast<int>(std::count_if(
        attempts.begin(), attempts.end(),
        [](const auto& attempt) { return !attempt->is_finished; }));
  }

  // Whether a send in progress may have reached its leaf.
  bool may_be_running() const {
    return std::any_of(
        attempts.begin(), attempts.end(), [](const auto& attempt) {
          return !attempt->is_finished && attempt->call.has_left();
        });
  }

  // When the latest send needs attention: when its second send is to be
  // prepared or started. Returns `otherwise` if neither is pending.
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
