// Writes verdicts to the store and handles its events.

#include "src/quarantine/verdict_controller.h"

#include <utility>

#include "src/quarantine/verdict_entry.h"

namespace medlarspread::quarantine {

namespace {

using blackboard::QuarantineEntry;
using blackboard::QuarantineState;

// Each store call costs money; until the write succeeds, the daemons learn the
// verdict from each other.
constexpr base::Duration kRetryDelay = base::Milliseconds(1'000);
// The convicting daemon writes at once, and its write arrives as a store event
// within a second. Only after that do the others write, spread over a random
// time.
constexpr base::Duration kMinWriteDelay = base::Milliseconds(2'500);
constexpr base::Duration kMaxRandomDelay = base::Milliseconds(5'000);
// By then every daemon has read the restored store, from whichever source.
constexpr base::Duration kRestoreSettled = base::Milliseconds(30'000);
// Each verdict costs three leaves, so one deployment never collects more than
// this number; at 300 bytes each they use 1.2 MB of memory per daemon.
constexpr std::size_t kMaxEntries = 4096;

}  // namespace

VerdictController::VerdictController(base::TaskRunner control,
                                     std::shared_ptr<base::Random> random,
                                     Put put,
                                     blackboard::Blackboard& blackboard,
                                     base::Log log)
    : control_(std::move(control)),
      random_(std::move(random)),
      put_(std::move(put)),
      blackboard_(blackboard),
      log_(std::move(log)) {}

void VerdictController::Record(const Fingerprint& fingerprint,
                               QuarantineEntry entry) {
  const std::string text = ToText(fingerprint);
  if (!view_.entries.contains(text) && view_.entries.size() >= kMaxEntries) {
    log_.Write(
        {.level = base::LogLevel::kError,
         .step = base::Step::kWriteStore,
         .message =
             "too many verdicts; dropped the one on fingerprint " + text});
    return;
  }
  const bool is_writing = pending_.contains(text);
  pending_[text] = std::move(entry);
  if (!is_writing) {
    Write(text);
  }
}

void VerdictController::RecordIfMissing(const Fingerprint& fingerprint,
                                        QuarantineEntry entry) {
  control_.After(
      kMinWriteDelay + RandomDelay(kMaxRandomDelay),
      [self = shared_from_this(), fingerprint, entry = std::move(entry)] {
        if (!self->is_stopped_ && !self->is_known(ToText(fingerprint))) {
          self->Record(fingerprint, entry);
        }
      });
}

base::Duration VerdictController::RandomDelay(base::Duration longest) {
  return base::Duration(static_cast<std::int64_t>(
      random_->Unit() * static_cast<double>(longest.count())));
}

void VerdictController::DidRestoreStore() {
  known_at_restore_ = view_.entries;
  for (const auto& [text, entry] : std::exchange(acknowledged_, {})) {
    if (const auto fingerprint = FingerprintFromText(text)) {
      RecordIfMissing(*fingerprint, entry);
    }
  }
  control_.After(kRestoreSettled,
                 [self = shared_from_this(), restore = ++restores_] {
                   if (self->restores_ == restore) {
                     self->known_at_restore_.clear();
                   }
                 });
}

bool VerdictController::IsLost(
    const std::string& fingerprint,
    const std::optional<QuarantineEntry>& entry) const {
  const auto known = known_at_restore_.find(fingerprint);
  if (known == known_at_restore_.end()) {
    return false;
  }
  const bool was_lifted = known->second.state == QuarantineState::kLifted;
  return !entry || (was_lifted && entry->state != QuarantineState::kLifted);
}

void VerdictController::RewriteIfMissing(const std::string& fingerprint) {
  if (!to_rewrite_.insert(fingerprint).second) {
    return;
  }
  log_.Write({.level = base::LogLevel::kInfo,
              .step = base::Step::kWatchStore,
              .message = "the restored store has lost the state of "
                         "fingerprint " +
                         fingerprint +
                         "; it stays in force and is written again"});
  control_.After(
      RandomDelay(kMaxRandomDelay), [self = shared_from_this(), fingerprint] {
        const bool is_missing = self->to_rewrite_.erase(fingerprint) > 0;
        const auto text = FingerprintFromText(fingerprint);
        const auto known = self->view_.entries.find(fingerprint);
        if (is_missing && text && known != self->view_.entries.end() &&
            !self->is_stopped_) {
          self->Record(*text, known->second);
        }
      });
}

bool VerdictController::is_known(const std::string& fingerprint) const {
  return view_.entries.contains(fingerprint) ||
         pending_.contains(fingerprint) || acknowledged_.contains(fingerprint);
}

void VerdictController::Write(const std::string& fingerprint) {
  const auto row = pending_.find(fingerprint);
  if (row == pending_.end() || is_stopped_) {
    return;
  }
  const QuarantineState state = row->second.state;
  put_(std::string(kVerdictKeyPrefix) + fingerprint, EncodeVerdict(row->second),
       [self = shared_from_this(), fingerprint,
        state](const base::Status& written) {
         const auto row = self->pending_.find(fingerprint);
         if (row == self->pending_.end()) {
           return;
         }
         if (written.is_ok() && row->second.state == state) {
           self->acknowledged_[fingerprint] = row->second;
           self->pending_.erase(row);
           return;
         }
         if (!written.is_ok()) {
           self->log_.DidFail(
               written.error(),
               "the verdict on fingerprint " + fingerprint +
                   " was not written to the store; it is written again");
         }
         self->control_.After(
             kRetryDelay, [self, fingerprint] { self->Write(fingerprint); });
       });
}

void VerdictController::DidChange(const std::string& fingerprint,
                                  const std::optional<std::string>& value) {
  if (!FingerprintFromText(fingerprint)) {
    return;
  }
  const auto entry = value ? DecodeVerdict(*value) : std::nullopt;
  if (value && !entry) {
    log_.Write(
        {.level = base::LogLevel::kWarning,
         .step = base::Step::kWatchStore,
         .message = "the verdict on fingerprint " + fingerprint +
                    " can't be parsed; the previous state stays in force"});
    return;
  }
  if (IsLost(fingerprint, entry)) {
    RewriteIfMissing(fingerprint);
    return;
  }
  acknowledged_.erase(fingerprint);
  to_rewrite_.erase(fingerprint);
  const auto pending = pending_.find(fingerprint);
  const bool is_settled =
      entry &&
      (entry->state == QuarantineState::kLifted ||
       (pending != pending_.end() && pending->second.state == entry->state));
  // A lift by an operator takes precedence over a verdict that this daemon is
  // still trying to write.
  if (is_settled) {
    pending_.erase(fingerprint);
  }
  if (entry) {
    view_.entries[fingerprint] = *entry;
  } else {
    view_.entries.erase(fingerprint);
  }
  blackboard_.quarantine.Write(view_);
  log_.Write({.level = base::LogLevel::kInfo,
              .step = base::Step::kWatchStore,
              .message = "fingerprint " + fingerprint + " is " +
                         (entry ? blackboard::kQuarantineStateNames.NameOf(
                                      entry->state)
                                : "no longer listed") +
                         " in the store"});
}

}  // namespace medlarspread::quarantine
