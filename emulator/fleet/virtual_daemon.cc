// Simulated links and connections of a virtual daemon.

#include "emulator/fleet/virtual_daemon.h"

#include <algorithm>
#include <utility>

#include "src/quarantine/verdict_entry.h"

namespace medlarspread::emulator {

namespace {

using upstream::ForwardReply;
using upstream::LeafOutcome;
using upstream::Readiness;

// The same value as in upstream::ForwardClient.
constexpr base::Duration kLinger = base::Milliseconds(250);
constexpr base::Duration kBeyondDeadline = base::Milliseconds(50);
// The same value as in daemon::OpaqueDaemon.
constexpr double kPlannedConnections = 0.9;
constexpr int kMaxInFlight = 2000;

// The reply to another daemon, as platform::MakePeerCodec() makes it.
ForwardReply MakePeerReply(query::ForwardedAnswer answer) {
  ForwardReply reply;
  reply.outcome = LeafOutcome::kFailed;
  if (auto* gathered = std::get_if<query::MergedRecords>(&answer)) {
    reply.outcome = LeafOutcome::kAnswered;
    reply.message.body() = std::move(gathered->records);
    reply.shard_proofs = std::move(gathered->proofs);
    return reply;
  }
  if (const auto* refused = std::get_if<query::Refused>(&answer)) {
    reply.outcome = LeafOutcome::kShed;
    reply.did_reach_leaves = refused->did_reach_leaves;
  }
  reply.error =
      base::MakeError(base::ErrorCode::kUnavailable, base::Step::kReadUpstream,
                      "", "the aggregator did not answer the part");
  return reply;
}

}  // namespace

VirtualDaemon::VirtualDaemon(FleetWorld& world,
                             blackboard::Member self,
                             const blackboard::MembershipView& members,
                             const blackboard::UpstreamsView& leaves,
                             const blackboard::RoutesView& routes)
    : world_(world),
      self_(std::move(self)),
      tracker_(std::make_shared<routing::LeafTracker>(
          routing::DaemonLocation{self_.region, self_.failure_domain},
          world.clock,
          world.random,
          base::Ablation(world.plan.without))),
      verdicts_(std::make_shared<quarantine::VerdictController>(
          world.runner,
          world.random,
          [this](const std::string& key,
                 const std::string& value,
                 const std::function<void(base::Status)>& done) {
            if (!is_dead_) {
              world_.store->Put(key, value, done);
            }
          },
          blackboard_,
          base::Log())),
      quarantine_(MakeQuarantine()),
      service_({kMaxInFlight, [this] { return world_.plan.extra_sends; },
                base::Ablation(world.plan.without)},
               world.clock,
               world.runner,
               blackboard_,
               tracker_,
               quarantine_,
               {MakePort(), MakePeerPort(), [](const burn::RequestRecord&) {},
                [](int) {}},
               base::Log()),
      reports_(MakeReports()) {
  blackboard::MembershipView view = members;
  view.self = self_.name;
  blackboard_.membership.Write(view);
  blackboard_.upstreams.Write(leaves);
  blackboard_.routes.Write(routes);
  blackboard_.lifecycle.Write({blackboard::LifecycleState::kReady, ""});
  if (!self_.query_address.empty()) {
    reports_->Start();
  }
  world_.store->Follow(
      self_.name, [this](const std::string& key, const std::string& value) {
        Deliver({}, [this, key, value] {
          verdicts_->DidChange(key.substr(quarantine::kVerdictKeyPrefix.size()),
                               value);
        });
      });
}

std::shared_ptr<quarantine::Quarantine> VirtualDaemon::MakeQuarantine() {
  quarantine::QuarantinePorts ports;
  ports.check = [this](const blackboard::Upstream& upstream,
                       const std::function<void(http1::PortState)>& done) {
    const auto leaf = world_.leaves.at(upstream.name);
    Deliver(2 * DelayTo(upstream), [leaf, done] {
      done(leaf->is_down() ? http1::PortState::kRefused
                           : http1::PortState::kListening);
    });
  };
  ports.record = [this](const quarantine::Fingerprint& fingerprint,
                        blackboard::QuarantineEntry entry) {
    verdicts_->Record(fingerprint, std::move(entry));
  };
  ports.record_if_missing = [this](const quarantine::Fingerprint& fingerprint,
                                   blackboard::QuarantineEntry entry) {
    verdicts_->RecordIfMissing(fingerprint, std::move(entry));
  };
  ports.has_reports = [this] { reports_->SendSoon(); };
  ports.did_end_leaf = [] {};
  ports.did_convict = [this] { ++world_.convictions; };
  return std::make_shared<quarantine::Quarantine>(
      world_.clock, world_.random, blackboard_, std::move(ports), base::Log());
}

std::shared_ptr<gossip::ReportExchange> VirtualDaemon::MakeReports() {
  return std::make_shared<gossip::ReportExchange>(
      world_.clock, world_.runner, world_.random, blackboard_,
      gossip::ReportPorts{
          [this](const std::string& address, const std::string& bytes) {
            SendDatagram(address, bytes);
          },
          [this] { return tracker_->TakeReports(); },
          [this](const routing::LeafReport& report) {
            tracker_->DidHear(report);
          },
          [this](std::size_t most) { return quarantine_->TakeReports(most); },
          [this](const quarantine::RunReport& report) {
            quarantine_->DidHear(report);
          }});
}

void VirtualDaemon::SendDatagram(const std::string& address,
                                 const std::string& bytes) {
  const auto row = world_.daemons.find(address);
  const bool is_lost = world_.random->Unit() < world_.plan.datagrams_lost ||
                       !world_.has_datagrams;
  if (is_dead_ || is_lost || row == world_.daemons.end()) {
    return;
  }
  VirtualDaemon* target = row->second;
  target->Deliver(
      std::max(DelayTo(target->self_), frozen_until_ - world_.clock.Now()),
      [target, bytes, from = self_.name] {
        target->reports_->DidReceive(bytes, from);
      });
}

void VirtualDaemon::Submit(query::IncomingRequest request,
                           query::ForwardedCallback done) {
  (void)service_.Submit(std::move(request), [this, done = std::move(done)](
                                                query::ForwardedAnswer answer) {
    if (!is_dead_) {
      done(std::move(answer));
    }
  });
}

void VirtualDaemon::Kill() {
  is_dead_ = true;
  reports_->Stop();
  verdicts_->Stop();
  world_.store->Unfollow(self_.name);
  world_.daemons.erase(self_.name);
  for (const auto& [name, link] : links_) {
    // The leaf isn't notified; it closes the connection after the idle timeout.
    const auto leaf = world_.leaves.at(name);
    (void)world_.runner.After(leaf->plan().idle_timeout, [leaf, link = link] {
      for (int index = 0; index < link.open; ++index) {
        leaf->Disconnect(link.leaf_start);
      }
    });
  }
}

upstream::ForwardPort VirtualDaemon::MakePort() {
  return {
      [this](const blackboard::Upstream& upstream, upstream::ForwardCall call,
             upstream::ForwardPort::Callback done) {
        return Send(upstream, std::move(call), std::move(done));
      },
      [this](const blackboard::Upstream& upstream, const std::string&) {
        return ReadinessOf(upstream);
      },
      [this](const blackboard::Upstream& upstream) {
        if (ReadinessOf(upstream) != Readiness::kMustConnect) {
          return;
        }
        const base::Duration delay =
            2 * DelayTo(upstream) +
            world_.leaves.at(upstream.name)->plan().connect_time;
        if (Open(upstream)) {
          const int start = LinkTo(upstream.name).leaf_start;
          (void)world_.runner.After(delay, [this, name = upstream.name, start] {
            Link& link = LinkTo(name);
            link.free += link.leaf_start == start ? 1 : 0;
          });
        }
      }};
}

int VirtualDaemon::ConnectionShare(const blackboard::Upstream& upstream) const {
  const double share = kPlannedConnections * upstream.connections *
                       service_.PartOf(upstream.collection);
  return std::max(1, static_cast<int>(share));
}

Readiness VirtualDaemon::ReadinessOf(const blackboard::Upstream& upstream) {
  const Link& link = LinkTo(upstream.name);
  if (link.free > 0) {
    return Readiness::kOpen;
  }
  return link.open < ConnectionShare(upstream) ? Readiness::kMustConnect
                                               : Readiness::kFull;
}

bool VirtualDaemon::Open(const blackboard::Upstream& upstream) {
  if (is_dead_ || !world_.leaves.at(upstream.name)->Connect()) {
    return false;
  }
  ++LinkTo(upstream.name).open;
  return true;
}

VirtualDaemon::Link& VirtualDaemon::LinkTo(const std::string& leaf) {
  Link& link = links_[leaf];
  const VirtualLeaf& now = *world_.leaves.at(leaf);
  if (link.leaf_start != now.starts()) {
    link = {0, 0, now.starts()};
  } else if (now.is_down()) {
    link = {0, 0, link.leaf_start};
  }
  return link;
}

void VirtualDaemon::DropConnection(const Call& call) {
  Link& link = LinkTo(call.leaf->upstream().name);
  if (link.leaf_start == call.leaf_start && !call.leaf->is_down()) {
    --link.open;
  }
}

base::Duration VirtualDaemon::DelayTo(
    const blackboard::Upstream& upstream) const {
  return Delay(upstream.region, upstream.failure_domain);
}

base::Duration VirtualDaemon::DelayTo(const blackboard::Member& member) const {
  return Delay(member.region, member.failure_domain);
}

base::Duration VirtualDaemon::Delay(const std::string& region,
                                    const std::string& domain) const {
  const LinkDelays& links = world_.plan.links;
  if (region != self_.region) {
    return links.between_regions;
  }
  return domain == self_.failure_domain ? links.in_domain
                                        : links.between_domains;
}

void VirtualDaemon::Deliver(base::Duration delay, base::Task task) {
  const base::MonotonicTime now = world_.clock.Now();
  (void)world_.runner.After(std::max({delay, frozen_until_ - now}),
                            [this, task = std::move(task)] {
                              if (world_.clock.Now() < frozen_until_) {
                                Deliver({}, task);
                              } else if (!is_dead_) {
                                task();
                              }
                            });
}

upstream::SentCall VirtualDaemon::Send(const blackboard::Upstream& upstream,
                                       upstream::ForwardCall forwarded,
                                       upstream::ForwardPort::Callback done) {
  auto call = std::make_shared<Call>();
  call->leaf = world_.leaves.at(upstream.name);
  call->sent = world_.clock.Now();
  call->done = std::move(done);
  const base::MonotonicTime deadline = call->sent + forwarded.time_left;
  base::Duration delay = DelayTo(upstream);
  Link& link = LinkTo(upstream.name);
  call->leaf_start = link.leaf_start;
  if (link.free > 0) {
    --link.free;
  } else {
    const base::Duration connecting =
        2 * DelayTo(upstream) + call->leaf->plan().connect_time;
    if (call->leaf->is_down()) {
      (void)world_.runner.After(2 * DelayTo(upstream), [this, call] {
        Finish(call, LeafOutcome::kUnreachable);
      });
      return {[call] { call->is_finished = true; }, [] {},
              [] { return false; }};
    }
    if (!Open(upstream)) {
      // The request is sent with the last packet of the handshake.
      (void)world_.runner.After(
          connecting, [this, call] { Finish(call, LeafOutcome::kLost); });
      return {[call] { call->is_finished = true; }, [] {}, [] { return true; }};
    }
    delay += connecting;
    call->leaves_at = call->sent + connecting;
  }
  EndAfter(call, forwarded.time_left + kBeyondDeadline);
  Deliver(delay, [this, call, id = forwarded.request_id, deadline] {
    Arrive(call, id, deadline);
  });
  return {[this, call] {
            if (!std::exchange(call->is_finished, true)) {
              Abort(call);
            }
          },
          [this, call] { EndAfter(call, kLinger); },
          [this, call] { return world_.clock.Now() >= call->leaves_at; }};
}

void VirtualDaemon::Arrive(const std::shared_ptr<Call>& call,
                           const std::string& request_id,
                           base::MonotonicTime deadline) {
  if (is_dead_ || call->is_finished) {
    return;
  }
  if (call->leaf->is_down() || call->leaf->starts() != call->leaf_start) {
    // The connection was lost while the request was in transit.
    Deliver(DelayTo(call->leaf->upstream()),
            [this, call] { Finish(call, LeafOutcome::kLost); });
    return;
  }
  world_.did_arrive(request_id, call->leaf->upstream().name);
  call->has_reached_leaf = true;
  const DeadlyRequest* deadly = world_.deadly(request_id);
  call->job = call->leaf->Submit(
      {world_.draw_work(request_id), deadline,
       [this, call](LeafOutcome outcome) {
         Deliver(DelayTo(call->leaf->upstream()),
                 [this, call, outcome] { Finish(call, outcome); });
       },
       [this, request_id] { world_.did_run(request_id); },
       deadly ? std::optional(deadly->crash_after) : std::nullopt,
       deadly ? deadly->down : base::Duration{}});
}

void VirtualDaemon::Finish(const std::shared_ptr<Call>& call,
                           LeafOutcome outcome) {
  if (is_dead_ || std::exchange(call->is_finished, true)) {
    return;
  }
  call->timer.Cancel();
  const std::string& leaf = call->leaf->upstream().name;
  const bool keeps_connection =
      outcome == LeafOutcome::kAnswered || outcome == LeafOutcome::kShed ||
      outcome == LeafOutcome::kReplaced || outcome == LeafOutcome::kFailed;
  if (keeps_connection) {
    Link& link = LinkTo(leaf);
    link.free +=
        link.leaf_start == call->leaf_start && !call->leaf->is_down() ? 1 : 0;
  } else if (outcome == LeafOutcome::kLost && call->has_reached_leaf) {
    DropConnection(*call);
    call->leaf->Disconnect(call->leaf_start);
  }
  ForwardReply reply;
  reply.outcome = outcome;
  reply.message.result(outcome == LeafOutcome::kAnswered
                           ? http1::Status::ok
                           : http1::Status::internal_server_error);
  reply.proof = leaf;
  reply.service_time = world_.clock.Now() - call->sent;
  if (outcome != LeafOutcome::kAnswered) {
    reply.error = base::MakeError(base::ErrorCode::kConnectionLost,
                                  base::Step::kReadUpstream, leaf,
                                  upstream::LeafOutcomeName(outcome));
  }
  const auto done = std::exchange(call->done, nullptr);
  done(std::move(reply));
}

void VirtualDaemon::Abort(const std::shared_ptr<Call>& call) {
  call->timer.Cancel();
  if (is_dead_) {
    return;
  }
  DropConnection(*call);
  (void)world_.runner.After(DelayTo(call->leaf->upstream()), [call] {
    call->leaf->Disconnect(call->leaf_start);
    call->leaf->Cancel(call->job);
  });
}

void VirtualDaemon::EndAfter(const std::shared_ptr<Call>& call,
                             base::Duration delay) {
  if (call->is_finished) {
    return;
  }
  call->timer.Cancel();
  call->timer = world_.runner.After(delay, [this, call] {
    if (call->is_finished || is_dead_) {
      return;
    }
    Abort(call);
    call->has_reached_leaf = false;
    Finish(call, LeafOutcome::kTimeout);
  });
}

upstream::ForwardPort VirtualDaemon::MakePeerPort() {
  return {[this](const blackboard::Upstream& peer, upstream::ForwardCall call,
                 upstream::ForwardPort::Callback done) {
            return SendToPeer(peer, std::move(call), std::move(done));
          },
          [](const blackboard::Upstream&, const std::string&) {
            return Readiness::kOpen;
          },
          [](const blackboard::Upstream&) {}};
}

upstream::SentCall VirtualDaemon::SendToPeer(
    const blackboard::Upstream& peer,
    upstream::ForwardCall forwarded,
    upstream::ForwardPort::Callback done) {
  auto call = std::make_shared<PeerCall>();
  call->done = std::move(done);
  const base::Duration delay = DelayTo(peer);
  const base::Duration longest = forwarded.time_left + kBeyondDeadline;
  const auto finish = [this, call](ForwardReply reply) {
    if (is_dead_ || std::exchange(call->is_finished, true)) {
      return;
    }
    call->timer.Cancel();
    std::exchange(call->done, nullptr)(std::move(reply));
  };
  // The reply is sent back once neither daemon is frozen.
  const auto respond = [this, delay, finish](ForwardReply reply) {
    Deliver(delay, [finish, reply = std::move(reply)] { finish(reply); });
  };
  Deliver({}, [this, call, delay, respond, name = peer.name,
               sent = world_.clock.Now(), forwarded = std::move(forwarded)] {
    const auto row = world_.daemons.find(name);
    if (row == world_.daemons.end()) {
      return;
    }
    VirtualDaemon* target = row->second;
    target->Deliver(delay, [this, call, sent, respond, target, forwarded] {
      if (!call->is_finished) {
        call->abandon = target->TakeFromPeer(
            forwarded, forwarded.time_left - (world_.clock.Now() - sent),
            [target, respond](ForwardReply reply) {
              if (target->world_.clock.Now() < target->mute_until_) {
                return;
              }
              target->Deliver(
                  {}, [respond, reply = std::move(reply)] { respond(reply); });
            });
      }
    });
  });
  call->timer = world_.runner.After(longest, [finish] {
    ForwardReply reply;
    reply.outcome = LeafOutcome::kTimeout;
    reply.error = base::MakeError(base::ErrorCode::kTimeout,
                                  base::Step::kReadUpstream, "", "no answer");
    finish(std::move(reply));
  });
  const auto cancel = [this, call, delay] {
    if (!std::exchange(call->is_finished, true)) {
      call->timer.Cancel();
      (void)world_.runner.After(delay, [call] { call->abandon(); });
    }
  };
  return {cancel, [] {}, [] { return true; }};
}

query::ForwardService::Abandon VirtualDaemon::TakeFromPeer(
    const upstream::ForwardCall& call,
    base::Duration time_left,
    std::function<void(ForwardReply)> respond) {
  if (call.handover->routes_revision == 0) {
    ForwardReply reply;
    reply.outcome = LeafOutcome::kAnswered;
    reply.missing_shards =
        service_.CheckPart(call.request_id, call.handover->most_missing);
    respond(std::move(reply));
    return [] {};
  }
  query::IncomingRequest request;
  request.request_id = call.request_id;
  request.host = "fleet";
  request.deadline = time_left;
  request.handover = call.handover;
  request.message = call.message;
  return service_.Submit(
      std::move(request),
      [respond = std::move(respond)](query::ForwardedAnswer answer) {
        respond(MakePeerReply(std::move(answer)));
      });
}

}  // namespace medlarspread::emulator
