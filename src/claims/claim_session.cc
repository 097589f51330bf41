// The requesting daemon's side of one claim.

#include "src/claims/claim_session.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace medlarspread::claims {

namespace {

base::Error MakeError(base::ErrorCode code,
                      std::string peer,
                      std::string detail) {
  return base::MakeError(code, base::Step::kClaim, std::move(peer),
                         std::move(detail));
}

std::int32_t ToMicroseconds(base::Duration duration) {
  return static_cast<std::int32_t>(std::clamp<std::int64_t>(
      duration.count(), 0, std::numeric_limits<std::int32_t>::max()));
}

}  // namespace

ClaimSession::ClaimSession(std::shared_ptr<ClaimContext> context,
                           std::shared_ptr<GroupCommitter> committer,
                           peer::PeerPort peers,
                           ClaimTask task,
                           DidFinish did_finish)
    : context_(std::move(context)),
      committer_(std::move(committer)),
      peers_(std::move(peers)),
      task_(std::move(task)),
      did_finish_(std::move(did_finish)) {}

void ClaimSession::Start() {
  deadline_timer_ = context_->runner.After(
      task_.deadline - context_->clock.Now(),
      [self = shared_from_this()] { self->DidPassDeadline(); });
  AskNextDaemon();
}

void ClaimSession::AskNextDaemon() {
  forward_timer_.Cancel();
  asked_peer_.clear();
  while (next_candidate_ < task_.candidates.size() &&
         forwards_ < context_->settings.forwards) {
    const std::string& candidate = task_.candidates[next_candidate_++];
    if (candidate == task_.self) {
      break;
    }
    if (Ask(candidate)) {
      return;
    }
  }
  CommitLocally();
}

bool ClaimSession::Ask(const std::string& peer) {
  const base::Duration left = task_.deadline - context_->clock.Now();
  peer::wire::ClaimRequest request;
  request.claim_id = task_.claim_id;
  request.request_id = task_.request_id;
  request.nonce = task_.nonce;
  request.deadline_left_us = ToMicroseconds(left);
  if (!peers_.send(peer, request).is_ok()) {
    return false;
  }
  ++forwards_;
  asked_peer_ = peer;
  // Half of the remaining time is reserved for the next daemon.
  forward_timer_ = context_->runner.After(
      std::min(context_->settings.forward_timeout, left / 2),
      [self = shared_from_this(), peer] { self->DidLosePeer(peer); });
  return true;
}

void ClaimSession::CommitLocally() {
  if (std::exchange(is_committing_locally_, true)) {
    return;
  }
  PendingClaim claim;
  claim.request_id = task_.request_id;
  claim.nonce = task_.nonce;
  claim.made_at_ms = task_.made_at_ms;
  claim.deadline = task_.deadline;
  claim.did_settle = [self = shared_from_this()](ClaimOutcome outcome,
                                                 const base::Error& error) {
    self->DidLearnOutcome(outcome, error);
  };
  committer_->Add(std::move(claim));
}

void ClaimSession::DidReceive(const std::string& peer,
                              const peer::wire::ClaimReply& reply) {
  if (reply.request_id != task_.request_id) {
    return;
  }
  const auto outcome = static_cast<ClaimOutcome>(reply.outcome);
  const bool is_certain =
      outcome == ClaimOutcome::kGranted || outcome == ClaimOutcome::kTaken;
  if (!is_certain && peer != asked_peer_) {
    // A late reply of an earlier peer must not end the wait for the next one.
    return;
  }
  DidLearnOutcome(outcome,
                  MakeError(base::ErrorCode::kUnavailable, peer, reply.detail));
}

void ClaimSession::DidLosePeer(const std::string& peer) {
  if (!did_finish_ || peer != asked_peer_) {
    return;
  }
  // The request or its reply may be lost, so the nonce may be recorded.
  may_be_recorded_ = true;
  AskNextDaemon();
}

void ClaimSession::DidLearnOutcome(ClaimOutcome outcome,
                                   const base::Error& error) {
  if (!did_finish_) {
    return;
  }
  switch (outcome) {
    case ClaimOutcome::kGranted:
      Finish(ClaimOutcome::kGranted, base::Error());
      return;
    case ClaimOutcome::kTaken:
      Finish(ClaimOutcome::kTaken,
             MakeError(base::ErrorCode::kConflict, error.peer,
                       "the request was claimed before"));
      return;
    case ClaimOutcome::kExpired:
      Finish(ClaimOutcome::kExpired, error);
      return;
    case ClaimOutcome::kRefused:
      GiveUp(error);
      return;
    case ClaimOutcome::kUnsettled:
      may_be_recorded_ = true;
      if (is_committing_locally_) {
        GiveUp(error);
      } else {
        AskNextDaemon();
      }
      return;
  }
  // An outcome that this version does not know is treated as unknown.
  may_be_recorded_ = true;
}

void ClaimSession::DidPassDeadline() {
  if (!did_finish_) {
    return;
  }
  // NOTE: the committer may have a swap with this claim in progress.
  may_be_recorded_ = true;
  GiveUp(MakeError(base::ErrorCode::kTimeout, asked_peer_,
                   "the claim was not settled in time"));
}

void ClaimSession::GiveUp(const base::Error& error) {
  Finish(may_be_recorded_ ? ClaimOutcome::kUnsettled : ClaimOutcome::kRefused,
         error);
}

void ClaimSession::Finish(ClaimOutcome outcome, const base::Error& error) {
  forward_timer_.Cancel();
  deadline_timer_.Cancel();
  ClaimResult result;
  result.outcome = outcome;
  result.error = error;
  // A daemon that was paused may get here long after the caller has
  // disconnected.
  if (outcome == ClaimOutcome::kGranted &&
      task_.deadline <= context_->clock.Now()) {
    result.outcome = ClaimOutcome::kUnsettled;
    result.error = MakeError(base::ErrorCode::kTimeout, asked_peer_,
                             "the claim was settled too late");
  }
  const bool is_worth_a_retry = result.outcome == ClaimOutcome::kRefused ||
                                result.outcome == ClaimOutcome::kUnsettled;
  if (is_worth_a_retry) {
    result.retry_after = context_->settings.retry_after;
  }
  std::exchange(did_finish_, nullptr)(result);
}

}  // namespace medlarspread::claims
