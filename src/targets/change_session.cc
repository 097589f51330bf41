// Implements the steps of a change.

#include "src/targets/change_session.h"

#include <algorithm>
#include <utility>

namespace medlarspread::targets {

namespace {

using base::ErrorCode;
using base::Step;
using store::Entry;

std::optional<blackboard::ClassTargets> FindClass(const TargetsRecord& record,
                                                  const std::string& name) {
  const auto found = record.classes.find(name);
  if (found == record.classes.end()) {
    return std::nullopt;
  }
  return found->second;
}

// Whether a mark that only the store's record has belongs to a change older
// than all marks of the record in force. If not, it is from a history that a
// restored store started and that no daemon has put in force.
bool PrecedesMarksOf(const ChangeMark& mark, const TargetsRecord& in_force) {
  return !in_force.changes.empty() &&
         mark.revision < in_force.changes.front().revision;
}

}  // namespace

ChangeSession::ChangeSession(const TargetsSettings& settings,
                             base::Clock clock,
                             base::TaskRunner control,
                             store::Store store,
                             std::shared_ptr<HeldTargets> held,
                             std::shared_ptr<PeerExchange> peers,
                             TargetsChange change,
                             ChangeCallback callback)
    : settings_(settings),
      clock_(clock),
      control_(std::move(control)),
      store_(std::move(store)),
      held_(std::move(held)),
      peers_(std::move(peers)),
      change_(std::move(change)),
      callback_(std::move(callback)),
      deadline_(clock.Now() + settings.change_timeout) {}

void ChangeSession::Start() {
  Read();
}

void ChangeSession::Read() {
  revision_at_call_ = held_->revision();
  store_.read(kTargetsKey, settings_.store_timeout,
              [self = shared_from_this()](
                  const base::Result<std::optional<Entry>>& result) {
                self->DidRead(result);
              });
}

void ChangeSession::DidRead(base::Result<std::optional<Entry>> result) {
  if (!result.is_ok()) {
    if (pending_write_version_) {
      RetryOrFail(result.error());
    } else {
      FinishWithError(result.error());
    }
    return;
  }
  const std::optional<Entry>& entry = result.value();
  const std::int64_t version = entry ? entry->version : store::kAbsent;
  if (pending_write_version_ && *pending_write_version_ != version) {
    // The expected version is gone: the write has taken effect by now or never
    // will.
    pending_write_version_.reset();
  }
  std::optional<TargetsRecord> stored;
  if (held_->DidReadStore(entry, revision_at_call_) ==
      OfferOutcome::kMalformed) {
    FinishWithError(base::MakeError(ErrorCode::kMalformed, Step::kReadStore,
                                    "store",
                                    "the stored targets cannot be parsed"));
    return;
  }
  if (entry) {
    stored = DecodeRecord(entry->value).value();
  }
  if (FinishIfRecorded(stored)) {
    return;
  }
  ApplyOn(version);
}

bool ChangeSession::FinishIfRecorded(
    const std::optional<TargetsRecord>& stored) {
  const ChangeMark* mark = FindMark(held_->record(), change_.change_id);
  if (mark == nullptr && stored) {
    const ChangeMark* old = FindMark(*stored, change_.change_id);
    mark = old != nullptr && PrecedesMarksOf(*old, held_->record()) ? old
                                                                    : nullptr;
  }
  if (mark == nullptr) {
    return false;
  }
  if (mark->digest != DigestOf(change_)) {
    Finish(ChangeInvalid{"change_id", "was used for another change"});
  } else {
    Finish(ChangeAccepted{mark->revision});
  }
  return true;
}

void ChangeSession::ApplyOn(std::int64_t version) {
  if (peers_->HighestLive() > held_->revision()) {
    peers_->RequestNow();
    RetryOrFail(base::MakeError(ErrorCode::kUnavailable, Step::kTargets, "",
                                "another VM has a higher revision in force"));
    return;
  }
  const TargetsRecord& base = held_->record();
  if (auto winner = FindConflict()) {
    Finish(std::move(*winner));
    return;
  }
  const std::string& name = ClassNameOf(change_);
  const bool is_known_class = base.classes.contains(name);
  if (std::holds_alternative<RemoveClass>(change_.action) && !is_known_class) {
    Finish(ChangeNotFound{name});
    return;
  }
  if (!is_known_class && base.classes.size() >= kMaxClasses) {
    Finish(ChangeInvalid{"name", "the maximum number of classes is reached"});
    return;
  }
  Write(ApplyChange(base, change_, peers_->HighestSeen()), version);
}

std::optional<ChangeLost> ChangeSession::FindConflict() {
  const TargetsRecord& base = held_->record();
  if (change_.expected_revision) {
    if (*change_.expected_revision == base.revision) {
      return std::nullopt;
    }
    return ChangeLost{base.revision, base.changes.empty()
                                         ? ""
                                         : base.changes.back().change_id};
  }
  const auto targets = FindClass(base, ClassNameOf(change_));
  if (!has_initial_targets_) {
    has_initial_targets_ = true;
    initial_targets_ = targets;
    return std::nullopt;
  }
  if (targets == initial_targets_) {
    return std::nullopt;
  }
  const ChangeMark* mark = FindLastMarkOfClass(base, ClassNameOf(change_));
  return mark == nullptr ? ChangeLost{base.revision, ""}
                         : ChangeLost{mark->revision, mark->change_id};
}

void ChangeSession::Write(const TargetsRecord& next, std::int64_t version) {
  std::string body = EncodeRecord(next);
  store_.compare_and_swap(kTargetsKey, body, version, settings_.store_timeout,
                          [self = shared_from_this(), body,
                           version](const base::Result<std::int64_t>& result) {
                            self->DidWrite(result, body, version);
                          });
}

void ChangeSession::DidWrite(base::Result<std::int64_t> result,
                             const std::string& body,
                             std::int64_t version) {
  if (result.is_ok()) {
    DidStore(body, result.value());
    return;
  }
  const base::Error& error = result.error();
  if (error.code == ErrorCode::kConflict) {
    RetryOrFail(error);
    return;
  }
  if (error.code == ErrorCode::kUnknownOutcome) {
    pending_write_version_ = version;
    RetryOrFail(error);
    return;
  }
  // This write was not made, but an earlier one may have been.
  if (pending_write_version_) {
    RetryOrFail(error);
  } else {
    FinishWithError(error);
  }
}

void ChangeSession::DidStore(const std::string& body, std::int64_t version) {
  const OfferOutcome outcome = held_->Offer(body, settings_.self);
  if (outcome == OfferOutcome::kApplied || outcome == OfferOutcome::kSame) {
    Finish(ChangeAccepted{DecodeRecord(body).value().revision});
    return;
  }
  // A peer has shown meanwhile that the store was restored: the write was based
  // on the wrong record, and no other daemon puts it in force.
  pending_write_version_ = version;
  RetryOrFail(
      base::MakeError(ErrorCode::kConflict, Step::kTargets, "",
                      "a higher revision came into force during the write"));
}

void ChangeSession::RetryOrFail(const base::Error& error) {
  const base::MonotonicTime next = clock_.Now() + settings_.change_retry;
  if (next + settings_.store_timeout > deadline_) {
    FinishWithError(error);
    return;
  }
  control_.After(settings_.change_retry,
                 [self = shared_from_this()] { self->Read(); });
}

void ChangeSession::FinishWithError(const base::Error& error) {
  if (pending_write_version_) {
    Finish(ChangeUnknown{error});
  } else {
    Finish(ChangeRefused{error, settings_.retry_after});
  }
}

void ChangeSession::Finish(ChangeOutcome outcome) {
  std::exchange(callback_, nullptr)(std::move(outcome));
}

}  // namespace medlarspread::targets
