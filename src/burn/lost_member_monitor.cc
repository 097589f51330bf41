// Compares two membership views and writes marks for the members that are gone.

#include "src/burn/lost_member_monitor.h"

#include <utility>

#include "src/burn/roll_up.h"

namespace medlarspread::burn {

namespace {

bool IsPresent(const blackboard::MembershipView& view,
               const blackboard::Member& member) {
  const auto found = view.members.find(member.name);
  return found != view.members.end() &&
         found->second.incarnation == member.incarnation &&
         found->second.state != blackboard::MemberState::kGone;
}

}  // namespace

LostMemberMonitor::LostMemberMonitor(BurnSettings settings,
                                     base::Clock clock,
                                     store::Store store,
                                     const blackboard::Blackboard& board,
                                     base::Log log)
    : settings_(std::move(settings)),
      clock_(std::move(clock)),
      store_(std::move(store)),
      board_(board),
      log_(std::move(log)),
      last_view_(board_.membership.Read()) {}

void LostMemberMonitor::CheckMembers() {
  const auto view = board_.membership.Read();
  if (view == last_view_) {
    return;
  }
  for (const auto& [name, member] : last_view_->members) {
    const bool is_lost =
        IsPresent(*last_view_, member) && !IsPresent(*view, member);
    if (is_lost && IsResponsible(*view, "burn/gone/" + name)) {
      const GoneKey key{member.failure_domain, {name, member.incarnation}};
      unwritten_.emplace(key.ToString(), EncodeMark(clock_.WallMilliseconds()));
    }
  }
  last_view_ = view;
}

void LostMemberMonitor::WriteMarks() {
  if (is_writing_ || unwritten_.empty()) {
    return;
  }
  is_writing_ = true;
  Write(std::string(unwritten_.begin()->first), store::kAbsent);
}

void LostMemberMonitor::Write(const std::string& key,
                              std::int64_t expected_version) {
  store_.compare_and_swap(key, unwritten_.at(key), expected_version,
                          settings_.store_timeout,
                          [self = shared_from_this(),
                           key](const base::Result<std::int64_t>& result) {
                            self->DidWriteMark(key, result);
                          });
}

void LostMemberMonitor::DidWriteMark(const std::string& key,
                                     const base::Result<std::int64_t>& result) {
  if (result.is_ok()) {
    is_writing_ = false;
    unwritten_.erase(key);
    WriteMarks();
    return;
  }
  if (result.error().code == base::ErrorCode::kConflict) {
    ReadOldMark(key);
    return;
  }
  // Writing a mark again is harmless, so no distinction is made whether the
  // write took effect.
  is_writing_ = false;
  log_.DidFail(result.error(),
               "could not mark a VM as gone in the store; will retry");
}

// The mark exists already: it was written for the same loss by another VM, or
// by a write of this VM whose reply was lost, or for an earlier time when the
// VM was only unreachable. The later time is kept.
void LostMemberMonitor::ReadOldMark(const std::string& key) {
  store_.read(key, settings_.store_timeout,
              [self = shared_from_this(),
               key](const base::Result<std::optional<store::Entry>>& result) {
                if (!result.is_ok()) {
                  self->is_writing_ = false;
                  self->log_.DidFail(
                      result.error(),
                      "could not read the existing mark of a VM that is gone");
                  return;
                }
                const std::int64_t version =
                    result.value() ? result.value()->version : store::kAbsent;
                const auto old = result.value()
                                     ? ParseMark(result.value()->value)
                                     : std::optional<std::int64_t>();
                if (old && *old >= *ParseMark(self->unwritten_.at(key))) {
                  self->is_writing_ = false;
                  self->unwritten_.erase(key);
                  self->WriteMarks();
                  return;
                }
                self->Write(key, version);
              });
}

}  // namespace medlarspread::burn
