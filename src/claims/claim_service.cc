// Routes claims between the query sessions, the group commit and other daemons.

#include "src/claims/claim_service.h"

#include <algorithm>
#include <cstdint>
#include <map>
#include <utility>
#include <vector>

#include "src/claims/claim_context.h"
#include "src/claims/claim_protocol.h"
#include "src/claims/claim_session.h"
#include "src/claims/claim_store.h"
#include "src/claims/group_committer.h"
#include "src/claims/grouping_order.h"
#include "src/claims/recent_claims.h"
#include "src/claims/recorded_claims.h"
#include "src/claims/sweeper.h"

namespace medlarspread::claims {

namespace {

constexpr std::uint64_t kClaimIdBound = std::uint64_t{1} << 62;
constexpr base::Duration kMaxWait = base::Milliseconds(kMaxWaitMilliseconds);
constexpr base::Duration kStopCheckInterval = base::Milliseconds(10);

using Callback = std::function<void(ClaimResult)>;

struct ClaimCall {
  std::string request_id;
  std::string nonce;
  base::MonotonicTime deadline;
  Callback callback;
};

ClaimResult MakeResult(ClaimOutcome outcome,
                       base::ErrorCode code,
                       std::string detail) {
  ClaimResult result;
  result.outcome = outcome;
  result.error =
      base::MakeError(code, base::Step::kClaim, "", std::move(detail));
  return result;
}

// If the requesting daemon turned to another daemon while its claim waited for
// the next group, two daemons would write the key. So it must wait for longer
// than the interval between groups.
ClaimSettings MakeConsistent(ClaimSettings settings) {
  settings.late_group_interval =
      std::max(settings.late_group_interval, settings.group_interval);
  settings.forward_timeout =
      std::max(settings.forward_timeout,
               settings.late_group_interval + settings.late_group_interval / 2);
  return settings;
}

base::Duration BoundWait(base::Duration wait) {
  return std::clamp(wait, base::Duration::zero(), kMaxWait);
}

}  // namespace

class ClaimService::Impl : public std::enable_shared_from_this<Impl> {
 public:
  Impl(std::shared_ptr<ClaimContext> context,
       store::Store store,
       peer::PeerPort peers,
       const blackboard::Blackboard& blackboard)
      : context_(std::move(context)),
        store_(std::make_shared<ClaimStore>(context_, std::move(store))),
        committer_(std::make_shared<GroupCommitter>(context_, store_)),
        sweeper_(std::make_shared<Sweeper>(context_, store_, blackboard)),
        peers_(std::move(peers)),
        blackboard_(blackboard),
        recent_(context_->settings.remembered_claims) {}

  const base::Clock& clock() const { return context_->clock; }
  const ClaimCounts& counts() const { return context_->counts; }
  const base::TaskRunner& runner() const { return context_->runner; }

  // Posts a call of `method` with `arguments` to the claims' sequence.
  template <typename... Parameters, typename... Arguments>
  void Post(void (Impl::*method)(Parameters...), Arguments... arguments) {
    context_->runner.Post([self = shared_from_this(), method, arguments...] {
      ((*self).*method)(arguments...);
    });
  }

  void Start() { sweeper_->Start(); }
  void StopSweeping() { sweeper_->Stop(); }
  void Ask(ClaimCall call);
  void DidReceiveRequest(const peer::Sender& sender,
                         const peer::wire::ClaimRequest& request);
  void DidReceiveReply(const peer::Sender& sender,
                       const peer::wire::ClaimReply& reply);
  void DidLosePeer(const std::string& peer);
  void Stop(const std::function<void()>& did_stop);
  void CheckStopped(const std::function<void()>& did_stop);

 private:
  // Returns the result if it can be given without a claim.
  std::optional<ClaimResult> AnswerWithoutClaim(
      const ClaimCall& call,
      const std::optional<std::int64_t>& made_at_ms) const;
  void StartSession(const ClaimCall& call, std::int64_t made_at_ms);
  void DidFinish(std::int64_t claim_id,
                 const ClaimCall& call,
                 const ClaimResult& result);
  void Count(ClaimOutcome outcome);
  void Reply(const std::string& peer,
             const peer::wire::ClaimRequest& request,
             ClaimOutcome outcome,
             const std::string& detail);

  const std::shared_ptr<ClaimContext> context_;
  const std::shared_ptr<ClaimStore> store_;
  const std::shared_ptr<GroupCommitter> committer_;
  const std::shared_ptr<Sweeper> sweeper_;
  const peer::PeerPort peers_;
  const blackboard::Blackboard& blackboard_;
  RecentClaims recent_;
  // The open claims of this daemon's sessions, keyed by claim identifier.
  std::map<std::int64_t, std::shared_ptr<ClaimSession>> sessions_;
  bool is_stopping_ = false;
};

void ClaimService::Impl::Ask(ClaimCall call) {
  const auto made_at_ms = MadeAtMilliseconds(call.request_id);
  const auto answer = AnswerWithoutClaim(call, made_at_ms);
  if (answer) {
    Count(answer->outcome);
    call.callback(*answer);
    return;
  }
  StartSession(call, *made_at_ms);
}

std::optional<ClaimResult> ClaimService::Impl::AnswerWithoutClaim(
    const ClaimCall& call,
    const std::optional<std::int64_t>& made_at_ms) const {
  if (!made_at_ms || !IsNonce(call.nonce)) {
    return MakeResult(ClaimOutcome::kRefused, base::ErrorCode::kInvalidArgument,
                      "not a request identifier or nonce");
  }
  if (recent_.Has(call.request_id)) {
    return MakeResult(ClaimOutcome::kTaken, base::ErrorCode::kConflict,
                      "the request was claimed before");
  }
  if (!IsWithinRetention(*made_at_ms, context_->clock.WallMilliseconds())) {
    return MakeResult(ClaimOutcome::kExpired, base::ErrorCode::kExpired,
                      "the identifier is too old or from the future; this "
                      "submission was not run, an earlier one may have");
  }
  ClaimResult refusal = MakeResult(ClaimOutcome::kRefused,
                                   base::ErrorCode::kStopping, "stopping");
  refusal.retry_after = context_->settings.retry_after;
  if (is_stopping_) {
    return refusal;
  }
  if (*made_at_ms < context_->min_claimable_ms) {
    refusal.error =
        base::MakeError(base::ErrorCode::kUnavailable, base::Step::kClaim, "",
                        "the store lost claims of that time");
    return refusal;
  }
  if (sessions_.size() >= context_->settings.open_claims) {
    refusal.error =
        base::MakeError(base::ErrorCode::kOverloaded, base::Step::kClaim, "",
                        "too many claims are open");
    return refusal;
  }
  return std::nullopt;
}

void ClaimService::Impl::StartSession(const ClaimCall& call,
                                      std::int64_t made_at_ms) {
  const auto view = blackboard_.membership.Read();
  ClaimTask task;
  // Random, so that a late reply to an earlier incarnation of this daemon is
  // never taken for a reply to this claim.
  task.claim_id =
      static_cast<std::int64_t>(context_->random.Below(kClaimIdBound));
  task.request_id = call.request_id;
  task.nonce = call.nonce;
  task.made_at_ms = made_at_ms;
  task.deadline = call.deadline;
  task.self = view->self;
  task.candidates =
      GroupingOrder(*view, BucketKey(call.request_id, made_at_ms));
  const std::int64_t claim_id = task.claim_id;
  auto session = std::make_shared<ClaimSession>(
      context_, committer_, peers_, std::move(task),
      [self = shared_from_this(), claim_id, call](const ClaimResult& result) {
        self->DidFinish(claim_id, call, result);
      });
  sessions_.emplace(claim_id, session);
  session->Start();
}

void ClaimService::Impl::DidFinish(std::int64_t claim_id,
                                   const ClaimCall& call,
                                   const ClaimResult& result) {
  sessions_.erase(claim_id);
  const bool is_recorded = result.outcome == ClaimOutcome::kGranted ||
                           result.outcome == ClaimOutcome::kTaken;
  if (is_recorded) {
    recent_.Add(call.request_id);
  }
  Count(result.outcome);
  call.callback(result);
}

void ClaimService::Impl::Count(ClaimOutcome outcome) {
  ClaimCounts& counts = context_->counts;
  switch (outcome) {
    case ClaimOutcome::kGranted:
      ++counts.granted;
      return;
    case ClaimOutcome::kTaken:
      ++counts.taken;
      return;
    case ClaimOutcome::kRefused:
      ++counts.refused;
      return;
    case ClaimOutcome::kUnsettled:
      ++counts.unsettled;
      return;
    case ClaimOutcome::kExpired:
      ++counts.expired;
      return;
  }
}

void ClaimService::Impl::DidReceiveRequest(
    const peer::Sender& sender,
    const peer::wire::ClaimRequest& request) {
  const auto made_at_ms = MadeAtMilliseconds(request.request_id);
  if (!made_at_ms || !IsNonce(request.nonce)) {
    Reply(sender.name, request, ClaimOutcome::kRefused, "malformed claim");
    return;
  }
  if (is_stopping_) {
    // kUnsettled rather than kRefused, so that the requesting daemon tries the
    // next daemon.
    Reply(sender.name, request, ClaimOutcome::kUnsettled, "stopping");
    return;
  }
  PendingClaim claim;
  claim.request_id = request.request_id;
  claim.nonce = request.nonce;
  claim.made_at_ms = *made_at_ms;
  claim.deadline =
      clock().Now() + BoundWait(base::Duration(request.deadline_left_us));
  claim.did_settle = [self = shared_from_this(), peer = sender.name, request](
                         ClaimOutcome outcome, const base::Error& error) {
    const bool is_unreachable_from_here =
        outcome == ClaimOutcome::kRefused &&
        error.code == base::ErrorCode::kUnreachable;
    // kUnsettled makes the requesting daemon try a daemon that may reach the
    // store. If the store itself refused the call, that would only add to its
    // load.
    self->Reply(peer, request,
                is_unreachable_from_here ? ClaimOutcome::kUnsettled : outcome,
                error.detail);
  };
  committer_->Add(std::move(claim));
}

void ClaimService::Impl::Reply(const std::string& peer,
                               const peer::wire::ClaimRequest& request,
                               ClaimOutcome outcome,
                               const std::string& detail) {
  peer::wire::ClaimReply reply;
  reply.claim_id = request.claim_id;
  reply.request_id = request.request_id;
  reply.outcome = static_cast<std::int32_t>(outcome);
  reply.detail = detail;
  // A reply that cannot be sent is treated as lost: the timer of the requesting
  // daemon handles it.
  static_cast<void>(peers_.send(peer, reply).is_ok());
}

void ClaimService::Impl::DidReceiveReply(const peer::Sender& sender,
                                         const peer::wire::ClaimReply& reply) {
  const auto found = sessions_.find(reply.claim_id);
  if (found == sessions_.end()) {
    return;
  }
  // Keeps the session alive, because it is removed from the map when it ends.
  const std::shared_ptr<ClaimSession> session = found->second;
  session->DidReceive(sender.name, reply);
}

void ClaimService::Impl::DidLosePeer(const std::string& peer) {
  const auto sessions = sessions_;
  for (const auto& [claim_id, session] : sessions) {
    session->DidLosePeer(peer);
  }
}

void ClaimService::Impl::Stop(const std::function<void()>& did_stop) {
  is_stopping_ = true;
  sweeper_->Stop();
  CheckStopped(did_stop);
}

void ClaimService::Impl::CheckStopped(const std::function<void()>& did_stop) {
  if (sessions_.empty() && committer_->open_claims() == 0) {
    did_stop();
    return;
  }
  context_->runner.After(
      kStopCheckInterval,
      [self = shared_from_this(), did_stop] { self->CheckStopped(did_stop); });
}

ClaimService::ClaimService(ClaimSettings settings,
                           base::Clock clock,
                           base::Random& random,
                           base::TaskRunner runner,
                           store::Store store,
                           peer::PeerPort peers,
                           const blackboard::Blackboard& blackboard,
                           base::Log log)
    : impl_(std::make_shared<Impl>(
          std::make_shared<ClaimContext>(ClaimContext{MakeConsistent(settings),
                                                      clock,
                                                      random,
                                                      runner,
                                                      std::move(log),
                                                      {},
                                                      0}),
          std::move(store),
          std::move(peers),
          blackboard)) {}

ClaimService::~ClaimService() {
  impl_->Post(&Impl::StopSweeping);
}

void ClaimService::Start() {
  impl_->Post(&Impl::Start);
}

ClaimPort ClaimService::port() {
  return [impl = impl_](std::string request_id, std::string nonce,
                        base::Duration deadline_left, Callback callback) {
    ClaimCall call;
    call.request_id = std::move(request_id);
    call.nonce = std::move(nonce);
    // The clock is read before the identifier's age is checked, so that a pause
    // between the two shortens the wait.
    call.deadline = impl->clock().Now() + BoundWait(deadline_left);
    call.callback = std::move(callback);
    impl->Post(&Impl::Ask, std::move(call));
  };
}

void ClaimService::DidReceive(const peer::Sender& sender,
                              const peer::wire::ClaimRequest& request) {
  impl_->Post(&Impl::DidReceiveRequest, sender, request);
}

void ClaimService::DidReceive(const peer::Sender& sender,
                              const peer::wire::ClaimReply& reply) {
  impl_->Post(&Impl::DidReceiveReply, sender, reply);
}

void ClaimService::DidLosePeer(const std::string& peer) {
  impl_->Post(&Impl::DidLosePeer, peer);
}

void ClaimService::Stop(std::function<void()> did_stop) {
  impl_->Post(&Impl::Stop, std::move(did_stop));
}

void ClaimService::ReadCounts(std::function<void(ClaimCounts)> callback) {
  impl_->runner().Post([impl = impl_, callback = std::move(callback)] {
    callback(impl->counts());
  });
}

}  // namespace medlarspread::claims
