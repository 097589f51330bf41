// Startup and shutdown order of the daemon's parts.

#include "src/daemon/daemon.h"

#include <chrono>
#include <thread>
#include <utility>

#include <cpprest/json.h>

namespace medlarspread::daemon {

namespace {

using base::Duration;
using blackboard::LifecycleState;

constexpr Duration kReadinessInterval = base::Milliseconds(50);
constexpr double kPercent = 100.0;
constexpr auto kStopPollInterval = std::chrono::milliseconds(20);
// Time for peers to learn that this daemon is leaving, before it rejects their
// sub-queries.
constexpr Duration kLeavePropagationDelay = base::Milliseconds(500);
// After the listener stops accepting connections, requests on connections that
// are already open are still expected for this long.
constexpr Duration kOpenConnectionGrace = base::Milliseconds(200);

routing::Policy MakePolicy(const settings::RoutingSettings& settings) {
  switch (settings.policy) {
    case settings::RoutingPolicy::kFixedShare:
      return routing::FixedSharePolicy{};
    case settings::RoutingPolicy::kRandomReplica:
      return routing::RandomReplicaPolicy{};
    case settings::RoutingPolicy::kQueueOwner:
      break;
  }
  return routing::QueueOwnerPolicy{settings.bundles_per_collection};
}

// Why the daemon is not ready yet; empty if it is.
std::string FindReadinessBlocker(const blackboard::Blackboard& blackboard,
                                 const targets::TargetsController& targets) {
  const auto membership = blackboard.membership.Read();
  if (!membership->members.contains(membership->self)) {
    return "membership is not established yet";
  }
  if (!targets.is_ready()) {
    return "targets are not loaded yet";
  }
  if (blackboard.upstreams.Read()->upstreams.empty()) {
    return "no upstream is known";
  }
  return "";
}

}  // namespace

Daemon::Daemon(settings::DaemonSettings settings,
               base::Log log,
               std::ostream& announce)
    : settings_(std::move(settings)),
      log_(std::move(log)),
      announce_(announce),
      random_(std::make_shared<base::Random>(base::MakeUnpredictableSeed())),
      incarnation_(clock_.WallMilliseconds()) {}

base::Status Daemon::Start() {
  http::InitializeTrafficThreads(settings_.traffic.threads);
  peer::PeerNetworkSettings network;
  network.self_name = settings_.vm.name;
  network.incarnation = incarnation_;
  network.listen_address = settings_.peers.address;
  network.max_frame_bytes = settings_.peers.max_frame_bytes;
  network.max_queue_bytes = settings_.peers.max_queue_bytes;
  network_ = std::make_unique<peer::PeerNetwork>(
      network, http::TrafficContext(), blackboard_,
      [this](const peer::Sender& sender, const peer::Message& message) {
        if (auto* router = active_router_.load()) {
          router->DidReceive(sender, message);
        }
      },
      [this](const std::string& peer) {
        metering_.DidLosePeer();
        if (auto* router = active_router_.load()) {
          router->DidLosePeer(peer);
        }
      },
      clock_, log_);
  if (auto opened = network_->Open(); !opened.is_ok()) {
    return opened;
  }
  const base::TaskRunner traffic(http::TrafficContext());
  controllers_ = std::make_unique<Controllers>(
      settings_, DaemonIdentity{incarnation_, network_->address()}, clock_,
      *random_, control_.runner(), traffic, network_->port(), blackboard_,
      metering_.registry(), log_);
  TrafficOptions options;
  options.attempt_prefix =
      settings_.vm.name + "." + std::to_string(incarnation_);
  options.policy = MakePolicy(settings_.routing);
  options.second_send_share =
      settings_.routing.second_send_budget_percent / kPercent;
  options.most_in_flight = settings_.callers.max_requests;
  TrafficPorts ports;
  ports.leaves = controllers_->leaves().port();
  ports.observe = [this](const std::string& name,
                         const upstream::LeafReply& reply) {
    metering_.DidReceiveLeafReply(reply);
    controllers_->upstreams().Observe(name, reply);
  };
  ports.peers = network_->port();
  ports.claim = controllers_->claims().port();
  ports.record = [this, count = controllers_->burn().recorder()](
                     const burn::RequestRecord& record) {
    metering_.DidAnswerCaller(record);
    count(record);
  };
  traffic_ = std::make_unique<Traffic>(std::move(options), clock_, random_,
                                       traffic, blackboard_, std::move(ports));
  router_ = std::make_unique<MessageRouter>(
      controllers_->membership(), controllers_->targets(),
      controllers_->claims(), traffic_->sub_query_client(),
      traffic_->sub_query_server());
  active_router_ = router_.get();
  controllers_->Start();
  control_.runner().Post([this] { CheckReadiness(); });
  if (auto opened = OpenListeners(); !opened.is_ok()) {
    return opened;
  }
  Announce();
  return base::Done{};
}

base::Status Daemon::OpenListeners() {
  caller_api_ = std::make_unique<caller_api::CallerApi>(
      caller_api::CallerApiSettings{settings_.callers.max_requests},
      blackboard_,
      [this](query::CallerRequest request, query::AnswerCallback done) {
        traffic_->queries().Submit(std::move(request), std::move(done));
      });
  callers_ = std::make_unique<http::Listener>(
      http::ListenerSettings{settings_.callers.address,
                             settings_.callers.max_body_bytes,
                             settings_.callers.body_timeout},
      [this](const http::Request& request, http::Responder respond) {
        caller_api_->Handle(request, std::move(respond));
      });
  if (auto opened = callers_->Open(); !opened.is_ok()) {
    return opened;
  }
  operator_pages_ =
      std::make_unique<OperatorPages>(*controllers_, *traffic_, *network_,
                                      blackboard_, *caller_api_, metering_);
  admin_api_ = std::make_unique<admin_api::AdminApi>(
      admin_api::AdminSettings{.token = settings_.operators.token},
      operator_pages_->ports(), controllers_->targets(), blackboard_, log_);
  operators_ = std::make_unique<http::Listener>(
      http::ListenerSettings{settings_.operators.address},
      admin_api_->handler());
  return operators_->Open();
}

void Daemon::Announce() {
  auto line = web::json::value::object();
  line["ready"] = web::json::value::string("medlarspread");
  line["name"] = web::json::value::string(settings_.vm.name);
  line["caller"] = web::json::value::string(callers_->address());
  line["admin"] = web::json::value::string(operators_->address());
  line["peer"] = web::json::value::string(network_->address());
  announce_ << line.serialize() << std::endl;
}

void Daemon::CheckReadiness() {
  if (is_stopping_) {
    return;
  }
  const auto before = blackboard_.lifecycle.Read();
  const std::string blocker =
      FindReadinessBlocker(blackboard_, controllers_->targets());
  // NOTE: a ready daemon stays ready. When the platform or its peers are
  // unavailable, it continues with its last known state.
  if (before->state == LifecycleState::kStarting) {
    const auto state =
        blocker.empty() ? LifecycleState::kReady : LifecycleState::kStarting;
    blackboard_.lifecycle.Write({state, blocker});
    if (state == LifecycleState::kReady) {
      log_.Write({.level = base::LogLevel::kInfo,
                  .step = base::Step::kAdmit,
                  .message = "ready"});
    }
  }
  control_.runner().After(kReadinessInterval, [this] { CheckReadiness(); });
}

bool Daemon::RunUntil(const std::atomic<bool>& should_stop,
                      const std::atomic<bool>& should_end_now) {
  while (!should_stop && !controllers_->is_replaced()) {
    std::this_thread::sleep_for(kStopPollInterval);
  }
  GracefulStop stop(clock_, log_, settings_.stop.bound);
  const bool is_clean = stop.Run(MakeStopSteps(), should_end_now);
  controllers_->Stop();
  network_->Close();
  return is_clean;
}

// The steps are explained at the top of graceful_stop.h.
std::vector<StopStep> Daemon::MakeStopSteps() {
  auto are_claims_settled = std::make_shared<std::atomic<bool>>(false);
  auto are_counts_written = std::make_shared<std::atomic<bool>>(false);
  return {
      {"notify load balancer and peers",
       [this] {
         is_stopping_ = true;
         blackboard_.lifecycle.Write(
             {LifecycleState::kStopping, "this daemon is stopping"});
         controllers_->membership().Leave();
       },
       [] { return 0; }},
      {"finish requests of callers",
       [this] { traffic_->queries().StopAccepting(); },
       [this] {
         return traffic_->queries().in_flight() + callers_->in_flight();
       },
       kLeavePropagationDelay},
      {"close listener for callers", [this] { callers_->StopAccepting(); },
       [this] { return callers_->in_flight(); }, kOpenConnectionGrace},
      {"finish sub-queries of peers",
       [this] { traffic_->sub_query_server().StopAccepting(); },
       [this] { return traffic_->sub_query_server().in_flight(); }},
      {"settle claims",
       [this, are_claims_settled] {
         controllers_->claims().Stop(
             [are_claims_settled] { *are_claims_settled = true; });
       },
       [are_claims_settled] { return *are_claims_settled ? 0 : 1; }},
      {"write error budget counts",
       [this, are_counts_written] {
         controllers_->burn().Stop(
             [are_counts_written] { *are_counts_written = true; });
       },
       [are_counts_written] { return *are_counts_written ? 0 : 1; }},
  };
}

}  // namespace medlarspread::daemon
