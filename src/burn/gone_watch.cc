// Differences between two views of the membership, and the marks they cause.

#include "src/burn/gone_watch.h"

#include <utility>

#include "src/burn/roll_up.h"

namespace medlarspread::burn {

namespace {

bool IsThere(const blackboard::MembershipView& view,
             const blackboard::Member& member) {
  const auto found = view.members.find(member.name);
  return found != view.members.end() &&
         found->second.incarnation == member.incarnation &&
         found->second.state != blackboard::MemberState::kGone;
}

}  // namespace

GoneWatch::GoneWatch(BurnSettings settings,
                     base::Clock clock,
                     platform::Store store,
                     const blackboard::Blackboard& board,
                     base::Log log)
    : settings_(std::move(settings)),
      clock_(std::move(clock)),
      store_(std::move(store)),
      board_(board),
      log_(std::move(log)),
      last_view_(board_.membership.Read()) {}

void GoneWatch::Look() {
  const auto view = board_.membership.Read();
  if (view == last_view_) {
    return;
  }
  for (const auto& [name, member] : last_view_->members) {
    const bool is_lost =
        IsThere(*last_view_, member) && !IsThere(*view, member);
    if (is_lost && IsHolder(*view, "burn/gone/" + name)) {
      const GoneKey key{member.failure_domain, {name, member.incarnation}};
      unwritten_.emplace(key.ToString(), EncodeMark(clock_.WallMilliseconds()));
    }
  }
  last_view_ = view;
}

void GoneWatch::WriteMarks() {
  if (is_writing_ || unwritten_.empty()) {
    return;
  }
  is_writing_ = true;
  const auto& [key, value] = *unwritten_.begin();
  store_.compare_and_swap(
      key, value, platform::kAbsent, settings_.store_timeout,
      [self = shared_from_this(),
       key = key](const base::Result<std::int64_t>& result) {
        self->DidWriteMark(key, result);
      });
}

void GoneWatch::DidWriteMark(const std::string& key,
                             const base::Result<std::int64_t>& result) {
  is_writing_ = false;
  // A conflict means that another VM has marked it, or this one has and the
  // reply was lost: an attempt that may have taken effect is made again.
  const bool is_marked =
      result.is_ok() || result.error().code == base::ErrorCode::kConflict;
  if (!is_marked) {
    log_.DidFail(result.error(), "it is marked later that a VM is gone");
    return;
  }
  unwritten_.erase(key);
  WriteMarks();
}

}  // namespace medlarspread::burn
