// Group commit of the claims of one key.

#include "src/claims/bucket.h"

#include <algorithm>
#include <utility>

namespace medlarspread::claims {

namespace {

constexpr int kMaxDoublings = 5;

// Identifiers from up to this many slices before the current one count as on
// time, which covers the time that a request takes to arrive.
constexpr std::int64_t kOnTimeSlices = 2;

}  // namespace

Bucket::Bucket(std::shared_ptr<ClaimContext> context,
               std::shared_ptr<ClaimStore> store,
               std::string key)
    : context_(std::move(context)),
      store_(std::move(store)),
      key_(std::move(key)) {}

void Bucket::Add(PendingClaim claim) {
  last_used_ = context_->clock.Now();
  if (SettleIfRecorded(claim)) {
    return;
  }
  queue_.push_back(std::move(claim));
  StartNextStep();
}

void Bucket::StartNextStep() {
  if (phase_ != Phase::kIdle) {
    return;
  }
  DropUnrecordable();
  if (queue_.empty() && !must_rewrite_) {
    return;
  }
  const base::Duration pause = next_swap_at_ - context_->clock.Now();
  if (pause > base::Duration::zero()) {
    Pause(pause);
    return;
  }
  if (!is_known_ && is_late()) {
    // Another daemon has probably written the key: a read costs less than a
    // conflict.
    Read();
    return;
  }
  Swap();
}

bool Bucket::is_late() const {
  const std::int64_t slice_now = SliceOf(context_->clock.WallMilliseconds());
  return !queue_.empty() &&
         SliceOf(queue_.front().made_at_ms) + kOnTimeSlices < slice_now;
}

void Bucket::Pause(base::Duration duration) {
  phase_ = Phase::kPausing;
  context_->runner.After(duration, [self = shared_from_this()] {
    self->phase_ = Phase::kIdle;
    self->StartNextStep();
  });
}

void Bucket::Swap() {
  next_swap_at_ = context_->clock.Now() +
                  (is_late() ? context_->settings.late_group_interval
                             : context_->settings.group_interval);
  const RecordedClaims added = TakeGroup();
  if (group_.empty() && !must_rewrite_) {
    return;
  }
  must_rewrite_ = false;
  phase_ = Phase::kSwapping;
  store_->Swap(key_, claims_.text() + added.text(), version_,
               [self = shared_from_this(),
                added](const base::Result<std::int64_t>& result) {
                 self->DidSwap(added, result);
               });
}

RecordedClaims Bucket::TakeGroup() {
  RecordedClaims added;
  for (PendingClaim& claim : queue_) {
    const std::size_t size = claims_.text().size() + added.text().size() +
                             ClaimLine(claim.request_id, claim.nonce).size();
    if (size > kMaxValueBytes) {
      GiveUp(claim, MakeError(base::ErrorCode::kOverloaded, "the key is full"));
      continue;
    }
    // If two claims have the same identifier, the first is recorded.
    added.Add(claim.request_id, claim.nonce);
    group_.push_back(std::move(claim));
  }
  queue_.clear();
  return added;
}

void Bucket::DidSwap(const RecordedClaims& added,
                     const base::Result<std::int64_t>& result) {
  phase_ = Phase::kIdle;
  if (!result.is_ok()) {
    DidFailSwap(result.error());
    return;
  }
  failures_in_a_row_ = 0;
  is_known_ = true;
  version_ = result.value();
  for (const auto& [request_id, nonce] : added.nonces()) {
    claims_.Add(request_id, nonce);
  }
  ReturnGroupToQueue();
  SettleRecorded();
  StartNextStep();
}

void Bucket::DidFailSwap(const base::Error& error) {
  switch (ClassifyStoreFailure(error)) {
    case StoreFailure::kNothingDone:
      ReturnGroupToQueue();
      CountFailure(error);
      BackOff();
      StartNextStep();
      return;
    case StoreFailure::kConflict:
      ++context_->counts.conflicts;
      ReturnGroupToQueue();
      Read();
      return;
    case StoreFailure::kUnknown:
      ++context_->counts.unknown_swaps;
      for (PendingClaim& claim : group_) {
        claim.unknown_swap =
            std::max(claim.unknown_swap.value_or(version_), version_);
      }
      ReturnGroupToQueue();
      Read();
      return;
  }
}

void Bucket::Read() {
  phase_ = Phase::kReading;
  store_->Read(key_, [self = shared_from_this()](const auto& result) {
    self->DidRead(result);
  });
}

void Bucket::DidRead(const base::Result<std::optional<store::Entry>>& result) {
  phase_ = Phase::kIdle;
  if (!result.is_ok()) {
    // NOTE: The next swap determines the state of the key as well as another
    // read.
    CountFailure(result.error());
    BackOff();
    StartNextStep();
    return;
  }
  failures_in_a_row_ = 0;
  is_known_ = true;
  const store::Entry entry = result.value().value_or(store::Entry());
  const base::Result<RecordedClaims> stored =
      RecordedClaims::Parse(entry.value);
  if (!stored.is_ok()) {
    // The value is never overwritten: it may hold claims in another format.
    context_->log.DidFail(stored.error(), "no claim is made under " + key_);
    for (const PendingClaim& claim : std::exchange(queue_, {})) {
      GiveUp(claim, stored.error());
    }
    return;
  }
  MergeStored(stored.value(), entry.version);
  StartNextStep();
}

void Bucket::MergeStored(const RecordedClaims& stored, std::int64_t version) {
  CheckForLostState(stored, version);
  const RecordedClaims earlier = std::exchange(claims_, stored);
  for (const auto& [request_id, nonce] : earlier.nonces()) {
    claims_.Add(request_id, nonce);
  }
  must_rewrite_ = claims_.text().size() > stored.text().size();
  version_ = version;
  for (PendingClaim& claim : queue_) {
    if (claim.unknown_swap && version > *claim.unknown_swap) {
      claim.unknown_swap.reset();
    }
  }
  SettleRecorded();
}

void Bucket::CheckForLostState(const RecordedClaims& stored,
                               std::int64_t version) {
  bool is_lost = version < version_;
  for (const auto& [request_id, nonce] : claims_.nonces()) {
    const std::string* const found = stored.Find(request_id);
    if (found != nullptr && *found == nonce) {
      continue;
    }
    is_lost = true;
    if (found != nullptr) {
      ++context_->counts.duplicate_claims;
      LogLoss("claimed twice, because the store lost the first claim",
              request_id);
    }
  }
  if (is_lost) {
    LogLoss("the store lost confirmed claims", "");
    context_->DidFindLostState();
  }
}

void Bucket::LogLoss(std::string message, std::string request_id) const {
  base::LogEntry entry;
  entry.level = base::LogLevel::kError;
  entry.step = base::Step::kClaim;
  entry.peer = key_;
  entry.request_id = std::move(request_id);
  entry.message = std::move(message);
  context_->log.Write(entry);
}

void Bucket::ReturnGroupToQueue() {
  queue_.insert(queue_.begin(), std::make_move_iterator(group_.begin()),
                std::make_move_iterator(group_.end()));
  group_.clear();
}

void Bucket::CountFailure(const base::Error& error) {
  std::erase_if(queue_, [&](PendingClaim& claim) {
    const bool is_over = ++claim.failures >= context_->settings.store_attempts;
    if (is_over) {
      GiveUp(claim, error);
    }
    return is_over;
  });
}

void Bucket::BackOff() {
  const int doublings = std::min(failures_in_a_row_++, kMaxDoublings);
  const base::Duration longest =
      context_->settings.store_backoff * (std::int64_t{1} << doublings);
  // Jitter prevents the daemons from calling the store again all at once.
  const auto half = static_cast<std::uint64_t>(longest.count() / 2);
  const auto jitter =
      static_cast<std::int64_t>(context_->random.Below(half + 1));
  next_swap_at_ = context_->clock.Now() + longest - base::Duration(jitter);
}

void Bucket::DropUnrecordable() {
  std::erase_if(queue_, [this](const PendingClaim& claim) {
    const std::optional<base::Error> error = ReasonToDrop(claim);
    if (error) {
      GiveUp(claim, *error);
    }
    return error.has_value();
  });
}

std::optional<base::Error> Bucket::ReasonToDrop(
    const PendingClaim& claim) const {
  if (claim.deadline <= context_->clock.Now()) {
    return MakeError(base::ErrorCode::kTimeout, "not recorded in time");
  }
  if (claim.made_at_ms < context_->min_claimable_ms) {
    return MakeError(base::ErrorCode::kUnavailable,
                     "the store lost claims of that time");
  }
  if (!IsWithinRetention(claim.made_at_ms,
                         context_->clock.WallMilliseconds())) {
    return MakeError(base::ErrorCode::kExpired,
                     "outside of the retention period");
  }
  return std::nullopt;
}

void Bucket::SettleRecorded() {
  std::erase_if(queue_, [this](const PendingClaim& claim) {
    return SettleIfRecorded(claim);
  });
}

bool Bucket::SettleIfRecorded(const PendingClaim& claim) {
  const std::string* const nonce = claims_.Find(claim.request_id);
  if (nonce == nullptr) {
    return false;
  }
  if (*nonce == claim.nonce) {
    Settle(claim, ClaimOutcome::kGranted, base::Error());
  } else {
    Settle(claim, ClaimOutcome::kTaken,
           MakeError(base::ErrorCode::kConflict, "claimed already"));
  }
  return true;
}

void Bucket::GiveUp(const PendingClaim& claim, const base::Error& error) {
  if (claim.unknown_swap) {
    Settle(claim, ClaimOutcome::kUnsettled, error);
    return;
  }
  const bool is_expired = error.code == base::ErrorCode::kExpired;
  Settle(claim, is_expired ? ClaimOutcome::kExpired : ClaimOutcome::kRefused,
         error);
}

void Bucket::Settle(const PendingClaim& claim,
                    ClaimOutcome outcome,
                    const base::Error& error) {
  // Posted, so that the callback may add claims again.
  context_->runner.Post([did_settle = claim.did_settle, outcome, error] {
    did_settle(outcome, error);
  });
}

base::Error Bucket::MakeError(base::ErrorCode code, std::string detail) const {
  return base::MakeError(code, base::Step::kClaim, key_, std::move(detail));
}

}  // namespace medlarspread::claims
