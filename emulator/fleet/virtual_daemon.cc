// Links and connections of a virtual daemon.

#include "emulator/fleet/virtual_daemon.h"

#include <algorithm>
#include <utility>

namespace medlarspread::emulator {

namespace {

using upstream::ForwardReply;
using upstream::LeafOutcome;
using upstream::Readiness;

// As upstream::ForwardClient has them.
constexpr base::Duration kLinger = base::Milliseconds(250);
constexpr base::Duration kBeyondDeadline = base::Milliseconds(50);
// As daemon::OpaqueDaemon has it.
constexpr double kPlannedConnections = 0.9;
constexpr int kMostInFlight = 2000;

}  // namespace

VirtualDaemon::VirtualDaemon(FleetWorld& world,
                             std::string name,
                             std::string region,
                             const blackboard::MembershipView& members,
                             const blackboard::UpstreamsView& leaves,
                             const blackboard::RoutesView& routes)
    : world_(world),
      region_(std::move(region)),
      service_({kMostInFlight, [this] { return world_.plan.extra_sends; },
                base::Ablation(world.plan.without)},
               world.clock,
               world.runner,
               blackboard_,
               std::make_shared<routing::LeafTracker>(
                   routing::Place{region_, region_},
                   world.clock,
                   world.random,
                   base::Ablation(world.plan.without)),
               {MakePort(), upstream::ForwardPort{},
                [](const burn::RequestRecord&) {}, [](int) {}},
               base::Log()) {
  blackboard::MembershipView view = members;
  view.self = std::move(name);
  blackboard_.membership.Write(view);
  blackboard_.upstreams.Write(leaves);
  blackboard_.routes.Write(routes);
  blackboard_.lifecycle.Write({blackboard::LifecycleState::kReady, ""});
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
  for (const auto& [name, link] : links_) {
    // Nobody tells the leaf: it notices when the connection was idle for long.
    const auto leaf = world_.leaves.at(name);
    (void)world_.runner.After(world_.plan.leaves.idle_timeout,
                              [leaf, open = link.open] {
                                for (int index = 0; index < open; ++index) {
                                  leaf->Disconnect();
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
      [this](const blackboard::Upstream& upstream) {
        return ReadinessOf(upstream);
      },
      [this](const blackboard::Upstream& upstream) {
        if (ReadinessOf(upstream) != Readiness::kMustConnect) {
          return;
        }
        const base::Duration delay =
            2 * DelayTo(upstream) + world_.plan.leaves.connect_time;
        if (Open(upstream)) {
          (void)world_.runner.After(
              delay, [this, name = upstream.name] { ++links_[name].free; });
        }
      }};
}

int VirtualDaemon::ConnectionShare(const blackboard::Upstream& upstream) const {
  const double share = kPlannedConnections * upstream.connections *
                       service_.PartOf(upstream.collection);
  return std::max(1, static_cast<int>(share));
}

Readiness VirtualDaemon::ReadinessOf(const blackboard::Upstream& upstream) {
  const Link& link = links_[upstream.name];
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
  ++links_[upstream.name].open;
  return true;
}

base::Duration VirtualDaemon::DelayTo(
    const blackboard::Upstream& upstream) const {
  return upstream.region == region_ ? world_.plan.links.in_domain
                                    : world_.plan.links.between_regions;
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
  Link& link = links_[upstream.name];
  if (link.free > 0) {
    --link.free;
  } else {
    const base::Duration connecting =
        2 * DelayTo(upstream) + world_.plan.leaves.connect_time;
    if (!Open(upstream)) {
      // The request has left with the last packet of the handshake.
      (void)world_.runner.After(
          connecting, [this, call] { Finish(call, LeafOutcome::kLost); });
      return {[call] { call->is_finished = true; }, [] {}};
    }
    delay += connecting;
  }
  EndAfter(call, forwarded.time_left + kBeyondDeadline);
  (void)world_.runner.After(delay, [this, call, id = forwarded.request_id,
                                    deadline] { Arrive(call, id, deadline); });
  return {[this, call] {
            if (!std::exchange(call->is_finished, true)) {
              Abort(call);
            }
          },
          [this, call] { EndAfter(call, kLinger); }};
}

void VirtualDaemon::Arrive(const std::shared_ptr<Call>& call,
                           const std::string& request_id,
                           base::MonotonicTime deadline) {
  if (is_dead_ || call->is_finished) {
    return;
  }
  world_.did_arrive(request_id, call->leaf->upstream().name);
  call->has_reached_leaf = true;
  call->job =
      call->leaf->Take({world_.draw_work(request_id), deadline,
                        [this, call](LeafOutcome outcome) {
                          (void)world_.runner.After(
                              DelayTo(call->leaf->upstream()),
                              [this, call, outcome] { Finish(call, outcome); });
                        },
                        [this, request_id] { world_.did_run(request_id); }});
}

void VirtualDaemon::Finish(const std::shared_ptr<Call>& call,
                           LeafOutcome outcome) {
  if (is_dead_ || std::exchange(call->is_finished, true)) {
    return;
  }
  call->timer.Cancel();
  const std::string& leaf = call->leaf->upstream().name;
  const bool keeps_connection = outcome == LeafOutcome::kAnswered ||
                                outcome == LeafOutcome::kShed ||
                                outcome == LeafOutcome::kFailed;
  if (keeps_connection) {
    ++links_[leaf].free;
  } else if (outcome == LeafOutcome::kLost && call->has_reached_leaf) {
    --links_[leaf].open;
    call->leaf->Disconnect();
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
  --links_[call->leaf->upstream().name].open;
  (void)world_.runner.After(DelayTo(call->leaf->upstream()), [call] {
    call->leaf->Disconnect();
    call->leaf->Drop(call->job);
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

}  // namespace medlarspread::emulator
