// The steps of HandoverSession.

#include "src/query/handover_session.h"

#include <algorithm>
#include <cassert>
#include <utility>

#include "src/base/overloaded.h"

namespace medlarspread::query {

namespace {

using base::Milliseconds;
using upstream::ForwardReply;
using upstream::LeafOutcome;

// The round trip to the peer, deducted so that its answer still reaches the
// caller in time.
constexpr base::Duration kPeerRoundTrip = Milliseconds(4);
// The first probe, which checks whether the peer has started at all, is sent
// after this percentage of the latency target, and its answer is awaited for
// the percentage below: it comes within some milliseconds, also from a
// processor that is busy with many requests. A frozen peer is detected early
// enough for a repeat to be in time.
constexpr int kFirstProbePercent = 5;
constexpr int kFirstWaitPercent = 30;
// The second probe is sent after this percentage: most answers have arrived by
// then.
constexpr int kProbePercent = 40;
// A peer that was alive a moment ago answers a probe within this time.
constexpr base::Duration kProbeWait = Milliseconds(30);
// The interval between further probes of a peer that answered.
constexpr base::Duration kProbeInterval = Milliseconds(250);
// The number of leaves per shard that a silent peer is assumed to have used:
// the first, and one more if that was overdue. A repeat may use only what the
// route allows beyond these; if there is none, the caller is told at once and
// retries. The same applies to a peer that never confirmed that it works on the
// part: its answer to the probe may be late because this daemon's own link is
// busy.
constexpr int kAssumedPeerLeaves = 2;
// No repeat is started with less time left than this.
constexpr base::Duration kMinTimeForRepeat = Milliseconds(20);

blackboard::Upstream AsUpstream(const blackboard::Member& peer) {
  blackboard::Upstream upstream;
  upstream.name = peer.name;
  upstream.address = peer.query_address;
  upstream.region = peer.region;
  upstream.failure_domain = peer.failure_domain;
  return upstream;
}

std::shared_ptr<const http1::Request> MakeProbe() {
  return std::make_shared<const http1::Request>(
      boost::beast::http::verb::options, "*", 11);
}

}  // namespace

HandoverSession::HandoverSession(
    std::shared_ptr<const HandoverDependencies> dependencies,
    ForwardedRequest request,
    std::vector<std::string> shards,
    const blackboard::Member& peer,
    FanOutSession::Done done,
    Replace replace)
    : dependencies_(std::move(dependencies)),
      request_(std::move(request)),
      shards_(std::move(shards)),
      peer_(AsUpstream(peer)),
      done_(std::move(done)),
      arrived_(dependencies_->clock.Now()),
      replace_(std::move(replace)) {}

void HandoverSession::Start() {
  is_peer_running_ = true;
  upstream::Handover terms{request_.routes_revision, shards_, {}};
  terms.leaves_of_others = request_.leaves_of_others;
  call_ = dependencies_->peers.send(
      peer_,
      {request_.request_id, request_.message, time_left() - kPeerRoundTrip,
       terms},
      [self = shared_from_this()](ForwardReply reply) {
        self->DidReply(std::move(reply));
      });
  const base::Duration target = request_.route->targets.latency;
  timer_ = dependencies_->runner.After(
      target * kFirstProbePercent / 100,
      [self = shared_from_this(), wait = target * kFirstWaitPercent / 100] {
        self->Probe(wait);
      });
}

bool HandoverSession::Abandon() {
  if (std::exchange(is_finished_, true)) {
    return false;
  }
  timer_.Cancel();
  if (is_peer_running_) {
    call_.cancel();
  }
  if (is_elsewhere_running_) {
    elsewhere_->abandon();
  }
  LogOutcome("no longer needed");
  report_ = nullptr;
  done_ = nullptr;
  return true;
}

void HandoverSession::DidReply(ForwardReply reply) {
  is_peer_running_ = false;
  if (is_finished_) {
    return;
  }
  if (reply.outcome != LeafOutcome::kAnswered) {
    DidFail(reply);
    return;
  }
  dependencies_->health->DidAnswer(peer_.name);
  const int answered = static_cast<int>(reply.shard_proofs.size());
  MergedRecords gathered;
  gathered.records = std::move(reply.message.body());
  gathered.proofs = std::move(reply.shard_proofs);
  gathered.missing = shard_count() - answered;
  Finish(std::move(gathered), MakeSummary(answered));
}

void HandoverSession::DidFail(const ForwardReply& reply) {
  dependencies_->log.DidFail(reply.error, "an aggregator failed",
                             request_.request_id);
  last_error_ = reply.error;
  const bool did_peer_report_failure = reply.outcome == LeafOutcome::kFailed;
  const bool did_not_run = !upstream::MayHaveRun(reply.outcome);
  is_peer_unknown_ = !did_not_run;
  // A peer that refuses is alive: it is stopping, or its routes differ for a
  // short time.
  if (!did_peer_report_failure && reply.outcome != LeafOutcome::kShed) {
    (void)dependencies_->health->DidFail(peer_.name);
  }
  if (is_elsewhere_running_) {
    return;
  }
  // A peer that reports a failure has tried everything that this daemon could
  // try.
  if (did_peer_report_failure || elsewhere_) {
    FinishUnknown();
    return;
  }
  // The leaves have rejected the part wherever the peer tried it. A send from
  // here would be a repeat, not a first send.
  if (reply.did_reach_leaves) {
    Finish(Refused{request_.request_id, last_error_, reply.retry_after,
                   RefusalKind::kOverload, true},
           MakeSummary(0));
    return;
  }
  FanOutHere(!did_not_run);
}

void HandoverSession::Check(std::function<void(int missing)> report) {
  report_ = std::move(report);
  if (is_elsewhere_running_) {
    elsewhere_->check(report_);
  }
  Probe(kProbeWait);
}

void HandoverSession::Relax(int most_missing) {
  most_missing_ = most_missing;
  if (is_elsewhere_running_) {
    elsewhere_->relax(most_missing);
  }
  Probe(kProbeWait);
}

void HandoverSession::Probe(base::Duration wait) {
  if (is_finished_ || !is_peer_running_) {
    return;
  }
  static const auto message = MakeProbe();
  timer_.Cancel();
  probe_ = dependencies_->peers.send(
      peer_,
      {request_.request_id, message, wait,
       upstream::Handover{0, {}, most_missing_}},
      [self = shared_from_this()](const ForwardReply& reply) {
        if (reply.outcome == LeafOutcome::kAnswered) {
          self->DidAnswerProbe(reply.missing_shards);
        }
      });
  timer_ = dependencies_->runner.After(
      wait, [self = shared_from_this()] { self->DidMissProbe(); });
}

void HandoverSession::DidAnswerProbe(std::optional<int> missing) {
  if (is_finished_) {
    return;
  }
  is_peer_at_work_ = is_peer_at_work_ || missing.has_value();
  if (missing && report_) {
    report_(*missing);
  }
  if (is_finished_ || elsewhere_) {
    return;
  }
  const base::Duration until_next =
      request_.route->targets.latency * kProbePercent / 100 - elapsed();
  timer_.Cancel();
  timer_ = dependencies_->runner.After(
      until_next > base::Duration{} ? until_next : kProbeInterval,
      [self = shared_from_this()] { self->Probe(kProbeWait); });
}

void HandoverSession::DidMissProbe() {
  if (is_finished_ || elsewhere_) {
    return;
  }
  const base::Duration pause = dependencies_->health->DidFail(peer_.name);
  last_error_ = base::MakeError(base::ErrorCode::kTimeout, base::Step::kForward,
                                peer_.address, "no answer to a probe");
  dependencies_->log.DidFail(last_error_,
                             "aggregator " + peer_.name +
                                 " is left alone for " +
                                 std::to_string(pause.count() / 1000) + " ms",
                             request_.request_id);
  if (is_peer_at_work_) {
    FanOutHere(true);
    return;
  }
  ReplacePeer();
}

void HandoverSession::ReplacePeer() {
  const bool has_left = call_.has_left();
  call_.cancel();
  is_peer_running_ = false;
  is_peer_unknown_ = has_left;
  ForwardedRequest request = MakeLaterRequest();
  // The peer may be working on the part while its confirmation is late, so
  // sends of its replacement must be paid for.
  request.leaves_of_others += has_left ? kAssumedPeerLeaves : 0;
  if (request.route->most_attempts <= request.leaves_of_others ||
      time_left() < kMinTimeForRepeat) {
    FinishUnknown();
    return;
  }
  StartElsewhere(replace_(request, MakeDone()));
}

bool HandoverSession::may_have_run() const {
  return is_peer_unknown_ || (is_peer_running_ && call_.has_left()) ||
         (elsewhere_ && elsewhere_->may_have_run());
}

void HandoverSession::FanOutHere(bool is_repeat) {
  ForwardedRequest request = MakeLaterRequest();
  request.leaves_of_others += is_repeat ? kAssumedPeerLeaves : 0;
  const bool may_repeat =
      request.route->most_attempts > request.leaves_of_others;
  const bool is_too_late = time_left() < kMinTimeForRepeat;
  if (is_repeat && (!may_repeat || is_too_late)) {
    FinishUnknown();
    return;
  }
  StartElsewhere(
      dependencies_->fan_out_here(std::move(request), shards_, MakeDone()));
}

ForwardedRequest HandoverSession::MakeLaterRequest() const {
  ForwardedRequest request = request_;
  request.deadline -= elapsed();
  request.waited += elapsed();
  return request;
}

FanOutSession::Done HandoverSession::MakeDone() {
  return [self = shared_from_this()](ForwardedAnswer answer,
                                     const FanOutSummary& summary) {
    self->DidFanOut(std::move(answer), summary);
  };
}

void HandoverSession::StartElsewhere(GatherPart work) {
  assert(!elsewhere_);
  elsewhere_ = std::move(work);
  is_elsewhere_running_ = true;
  elsewhere_->start();
  if (most_missing_ && is_elsewhere_running_) {
    elsewhere_->relax(*most_missing_);
  }
}

void HandoverSession::DidFanOut(ForwardedAnswer answer,
                                const FanOutSummary& summary) {
  is_elsewhere_running_ = false;
  if (is_finished_) {
    return;
  }
  // The peer may still answer.
  if (is_peer_running_ && !std::holds_alternative<MergedRecords>(answer)) {
    return;
  }
  if (is_peer_unknown_ && std::holds_alternative<Refused>(answer)) {
    last_error_ = std::get<Refused>(answer).error;
    FinishUnknown();
    return;
  }
  Finish(std::move(answer), summary);
}

void HandoverSession::FinishUnknown() {
  Finish(Unknown{request_.request_id, last_error_}, MakeSummary(0));
}

FanOutSummary HandoverSession::MakeSummary(int answered) const {
  FanOutSummary summary;
  summary.latency = elapsed();
  summary.shards = shard_count();
  summary.answered = answered;
  return summary;
}

void HandoverSession::Finish(ForwardedAnswer answer,
                             const FanOutSummary& summary) {
  assert(!is_finished_);
  is_finished_ = true;
  timer_.Cancel();
  if (is_peer_running_) {
    call_.cancel();
  }
  if (is_elsewhere_running_) {
    elsewhere_->abandon();
  }
  LogOutcome(std::visit(
      base::Overloaded{[this](const Unknown&) {
                         return "may have run: " + last_error_.ToString();
                       },
                       [this](const Refused&) {
                         return "refused, not run: " + last_error_.ToString();
                       },
                       [this](const auto&) {
                         return std::string(elsewhere_
                                                ? "ended elsewhere"
                                                : "answered by the peer");
                       }},
      answer));
  report_ = nullptr;
  const auto done = std::exchange(done_, nullptr);
  done(std::move(answer), summary);
}

void HandoverSession::LogOutcome(const std::string& outcome) const {
  dependencies_->log.Write(
      {.level = base::LogLevel::kInfo,
       .step = base::Step::kForward,
       .peer = peer_.address,
       .request_id = request_.request_id,
       .message = "handed " + std::to_string(shard_count()) +
                  " shards to aggregator " + peer_.name + ": " + outcome +
                  "; route=" + request_.route->targets.name +
                  " revision=" + std::to_string(request_.routes_revision) +
                  " ms=" + std::to_string(elapsed().count() / 1000)});
}

base::Duration HandoverSession::time_left() const {
  return std::min(request_.deadline, request_.route->timeout) - elapsed();
}

}  // namespace medlarspread::query
