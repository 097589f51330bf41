// Derives each controller's settings and connects the controllers.

#include "src/daemon/controllers.h"

#include <string>
#include <utility>

#include "src/daemon/metered_store.h"

#include "src/claims/claim_settings.h"

namespace medlarspread::daemon {

namespace {

// Leaves room for cancellations and health checks beside the requests that fill
// a leaf's slots. Not a setting: the client already respects the limit that the
// leaf advertises, and a setting could only violate it.
constexpr int kMaxInFlightPerLeaf = 64;

upstream::LeafClientSettings MakeLeafClientSettings() {
  upstream::LeafClientSettings settings;
  settings.connections.max_in_flight_per_leaf = kMaxInFlightPerLeaf;
  return settings;
}

targets::TargetsSettings MakeTargetsSettings(
    const settings::DaemonSettings& settings) {
  targets::TargetsSettings result;
  result.self = settings.vm.name;
  result.failure_domain = settings.vm.failure_domain;
  result.readers_per_failure_domain =
      settings.targets.readers_per_failure_domain;
  result.store_timeout = settings.platform.timeout;
  // Long enough for a few peers to report which revision of the targets they
  // have in force.
  constexpr int kHeartbeats = 4;
  result.peer_wait = kHeartbeats * settings.membership.heartbeat;
  return result;
}

membership::MembershipSettings MakeMembershipSettings(
    const settings::DaemonSettings& settings,
    const DaemonIdentity& identity) {
  membership::MembershipSettings result;
  result.name = settings.vm.name;
  result.address = identity.peer_address;
  result.region = settings.vm.region;
  result.failure_domain = settings.vm.failure_domain;
  result.incarnation = identity.incarnation;
  result.round = settings.membership.heartbeat;
  // A peer that doesn't answer is first suspected, then declared gone; each
  // phase takes half of the configured time.
  result.answer_timeout = settings.membership.gone_after / 2;
  result.suspicion_timeout = settings.membership.gone_after / 2;
  return result;
}

claims::ClaimSettings MakeClaimSettings(
    const settings::DaemonSettings& settings) {
  claims::ClaimSettings result;
  result.group_interval = settings.claims.group;
  return result;
}

burn::BurnSettings MakeBurnSettings(const settings::DaemonSettings& settings,
                                    const DaemonIdentity& identity) {
  burn::BurnSettings result;
  result.vm_name = settings.vm.name;
  result.incarnation = identity.incarnation;
  result.failure_domain = settings.vm.failure_domain;
  result.flush_interval = settings.burn.flush;
  return result;
}

}  // namespace

Controllers::Controllers(const settings::DaemonSettings& settings,
                         const DaemonIdentity& identity,
                         const base::Clock& clock,
                         base::Random& random,
                         const base::TaskRunner& control,
                         const base::TaskRunner& traffic,
                         const peer::PeerPort& peers,
                         blackboard::Blackboard& blackboard,
                         metrics::Registry& registry,
                         const base::Log& log)
    : log_(log),
      store_client_({.address = settings.platform.address}, control),
      store_(MeterStore(store_client_.store(), registry, clock)),
      vm_list_({.address = settings.platform.address}, control),
      leaves_(MakeLeafClientSettings(), clock, traffic),
      health_(leaves_.connections()),
      upstreams_({},
                 clock,
                 random,
                 control,
                 vm_list_.read_vm_list(),
                 health_.read_health(),
                 blackboard,
                 MakeUpstreamCallbacks()),
      targets_(MakeTargetsSettings(settings),
               clock,
               random,
               control,
               store_,
               peers,
               blackboard,
               log),
      membership_(MakeMembershipSettings(settings, identity),
                  clock,
                  random,
                  control,
                  peers,
                  vm_list_.read_vm_list(),
                  blackboard,
                  MakeMembershipCallbacks(),
                  log),
      claims_(MakeClaimSettings(settings),
              clock,
              random,
              control,
              store_,
              peers,
              blackboard,
              log),
      burn_(std::make_shared<burn::BurnController>(
          MakeBurnSettings(settings, identity),
          clock,
          random,
          control,
          store_,
          blackboard,
          log)) {}

upstream::UpstreamCallbacks Controllers::MakeUpstreamCallbacks() {
  upstream::UpstreamCallbacks callbacks;
  // FIXME: every daemon polls the health of every leaf. With 1,500 daemons and
  // 8,700 leaves, only the owners of a leaf's queues should poll it and forward
  // the result; see docs/CAPACITY.md.
  callbacks.should_poll = [](const blackboard::Upstream&) { return true; };
  callbacks.did_find_draining = [this](const std::string& name) {
    membership_.NoteDrainingUpstream(name);
  };
  return callbacks;
}

membership::MembershipCallbacks Controllers::MakeMembershipCallbacks() {
  membership::MembershipCallbacks callbacks;
  callbacks.did_see_targets = [this](const std::string& peer,
                                     std::int64_t revision,
                                     std::int64_t digest) {
    targets_.DidSeeRevision(peer, revision, digest);
  };
  callbacks.did_hear_draining = [this](const std::string& upstream,
                                       base::Duration age) {
    upstreams_.DidHearDraining(upstream, age);
  };
  callbacks.did_get_replaced = [this](std::int64_t newer_incarnation) {
    log_.Write({.level = base::LogLevel::kError,
                .step = base::Step::kMembership,
                .message = "a newer process runs under this VM's name "
                           "(incarnation " +
                           std::to_string(newer_incarnation) + ")"});
    is_replaced_ = true;
  };
  return callbacks;
}

void Controllers::Start() {
  membership_.Start();
  targets_.Start();
  upstreams_.Start();
  claims_.Start();
  burn_->Start();
}

void Controllers::Stop() {
  targets_.Stop();
  upstreams_.Stop();
  membership_.Stop();
}

}  // namespace medlarspread::daemon
