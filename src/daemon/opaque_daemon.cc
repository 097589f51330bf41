// Startup order of the daemon's parts and the steps of a graceful shutdown.

#include "src/daemon/opaque_daemon.h"

#include <algorithm>
#include <chrono>
#include <csignal>
#include <utility>

#include "src/base/json_string.h"
#include "src/http1/port_check.h"
#include "src/platform/caller_codec.h"
#include "src/platform/leaf_codec.h"
#include "src/platform/peer_codec.h"
#include "src/settings/load_settings.h"

namespace medlarspread::daemon {

namespace {

using blackboard::LifecycleState;

constexpr int kHttpVersion = 11;
// The load balancer checks readiness every second and moves callers elsewhere
// after two failed checks.
constexpr base::Duration kLoadBalancerDelay = base::Milliseconds(2'800);
// The part of the shutdown timeout that is reserved for the exit of the
// process.
constexpr base::Duration kExitMargin = base::Milliseconds(500);
constexpr base::Duration kDrainPollInterval = base::Milliseconds(20);
// How often the settings file is checked: it may change without a signal, and
// reading its modification time costs one system call.
constexpr base::Duration kSettingsCheckInterval = base::Milliseconds(3'000);
constexpr base::Duration kPruneInterval = base::Milliseconds(1'000);
// Share of a leaf's connections that the known daemons divide among themselves;
// the rest is for daemons that have just joined.
constexpr double kPlannedConnectionShare = 0.9;
// Connections to one peer, each with one request at a time. A daemon delegates
// a few requests a second to a peer, each of which takes a tenth of a second;
// probes use a separate connection.
constexpr int kPeerConnections = 16;
// A peer forwards the headers and the body of a caller's request, whose size it
// has already checked.
constexpr std::size_t kPeerHeaderBytes = 256 << 10;
constexpr std::size_t kPeerBodyBytes = 64 << 20;
// How long the host of a leaf whose connection was lost may take to accept or
// refuse a new one: several round trips to the farthest region.
constexpr base::Duration kPortCheckTimeout = base::Milliseconds(400);
// Long enough for peers without requests for a while to keep connections open.
constexpr base::Duration kPeerIdleTimeout = base::Milliseconds(60'000);

http1::MessageLimits ToLimits(const blackboard::CallerLimits& limits) {
  return {limits.header_bytes, limits.body_bytes, limits.header_timeout,
          limits.idle_timeout};
}

http1::Response MakeText(http1::Status status, std::string text) {
  http1::Response response(status, kHttpVersion);
  response.set(boost::beast::http::field::content_type, "text/plain");
  response.body() = std::move(text);
  response.prepare_payload();
  return response;
}

}  // namespace

OpaqueDaemon::OpaqueDaemon(settings::DaemonSettings settings,
                           base::Log log,
                           std::ostream& announce)
    : settings_(std::move(settings)),
      log_(std::move(log)),
      announce_(announce),
      random_(std::make_shared<base::Random>(base::MakeUnpredictableSeed())),
      store_calls_(
          control_.context(),
          control_.runner(),
          {settings_.platform.address, settings_.platform.timeout},
          [this](std::int64_t era) { controllers_.DidSeeEra(era); },
          log_),
      controllers_(settings_,
                   control_.context(),
                   clock_,
                   random_,
                   control_.runner(),
                   store_calls_.source(),
                   blackboard_,
                   log_),
      leaf_client_({settings_.callers.max_response_bytes},
                   traffic_context_,
                   clock_,
                   traffic_,
                   platform::MakeLeafCodec(),
                   [this](const blackboard::Upstream& upstream) {
                     return ConnectionShare(upstream);
                   }),
      peer_client_(
          {settings_.callers.max_response_bytes},
          traffic_context_,
          clock_,
          traffic_,
          platform::MakePeerCodec(),
          [](const blackboard::Upstream&) { return kPeerConnections; }),
      tracker_(std::make_shared<routing::LeafTracker>(
          routing::DaemonLocation{settings_.vm.region,
                                  settings_.vm.failure_domain},
          clock_,
          random_,
          base::Ablation(settings_.measuring.without))),
      quarantine_(MakeQuarantine()),
      queries_({settings_.callers.max_requests,
                [this] {
                  return admission::ExtraSendBound{
                      settings_.extra_sends.share, settings_.extra_sends.slack,
                      settings_.extra_sends.window};
                },
                base::Ablation(settings_.measuring.without)},
               clock_,
               traffic_,
               blackboard_,
               tracker_,
               quarantine_,
               MakeQueryPorts(),
               log_),
      datagrams_(std::make_shared<gossip::DatagramSocket>(
          traffic_context_,
          [this](const std::string& bytes, const std::string& peer) {
            reports_->DidReceive(bytes, peer);
          })),
      reports_(MakeReportExchange()) {}

std::shared_ptr<gossip::ReportExchange> OpaqueDaemon::MakeReportExchange() {
  return std::make_shared<gossip::ReportExchange>(
      clock_, traffic_, random_, blackboard_,
      gossip::ReportPorts{
          [this](const std::string& address, const std::string& bytes) {
            datagrams_->Send(address, bytes);
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

std::shared_ptr<quarantine::Quarantine> OpaqueDaemon::MakeQuarantine() {
  quarantine::QuarantinePorts ports;
  ports.check = [this](const blackboard::Upstream& leaf,
                       std::function<void(http1::PortState)> done) {
    http1::CheckPort(traffic_context_, leaf.address, kPortCheckTimeout,
                     std::move(done));
  };
  ports.record = [this](const quarantine::Fingerprint& fingerprint,
                        blackboard::QuarantineEntry entry) {
    control_.runner().Post([this, fingerprint, entry = std::move(entry)] {
      controllers_.verdicts().Record(fingerprint, entry);
    });
  };
  ports.record_if_missing = [this](const quarantine::Fingerprint& fingerprint,
                                   blackboard::QuarantineEntry entry) {
    control_.runner().Post([this, fingerprint, entry = std::move(entry)] {
      controllers_.verdicts().RecordIfMissing(fingerprint, entry);
    });
  };
  ports.has_reports = [this] { reports_->SendSoon(); };
  ports.did_end_leaf = [this] {
    metrics_.Count(metrics::Counter::kLeavesEnded);
  };
  ports.did_convict = [this] {
    metrics_.Count(metrics::Counter::kRequestsConvicted);
  };
  return std::make_shared<quarantine::Quarantine>(clock_, random_, blackboard_,
                                                  std::move(ports), log_);
}

query::ForwardService::Ports OpaqueDaemon::MakeQueryPorts() {
  return {
      leaf_client_.port(),
      peer_client_.port(),
      [this](const burn::RequestRecord& record) { Record(record); },
      [this](int sends) {
        metrics_.Count(metrics::Counter::kUpstreamSends, sends);
        metrics_.Count(metrics::Counter::kRequestsFannedOutForPeers);
      },
      [this](const query::ShardAttempt& attempt) { CountRepeat(attempt); },
      [this](const upstream::ForwardReply& reply) { CountLeafReply(reply); },
      [this] { metrics_.Count(metrics::Counter::kRequestsQuarantined); }};
}

base::Status OpaqueDaemon::Start() {
  callers_ = MakeCallerListener();
  readiness_ = MakePageListener(settings_.callers.readiness_address,
                                [this] { return RenderReadiness(); });
  metrics_page_ = MakePageListener(settings_.operators.address,
                                   [this] { return RenderMetrics(); });
  if (!settings_.peers.query_address.empty()) {
    peer_listener_ = MakePeerListener();
  }
  for (const auto& listener :
       {callers_, readiness_, metrics_page_, peer_listener_}) {
    if (!listener) {
      continue;
    }
    if (auto opened = listener->Open(); !opened.is_ok()) {
      return opened;
    }
  }
  if (!settings_.peers.query_address.empty()) {
    auto opened = datagrams_->Open(settings_.peers.query_address);
    if (!opened.is_ok()) {
      return opened;
    }
    reports_->Start();
  }
  if (auto opened = controllers_.Open(); !opened.is_ok()) {
    return opened;
  }
  signals_.add(SIGTERM);
  signals_.add(SIGINT);
  signals_.add(SIGHUP);
  WaitForSignal();
  WatchSettingsFile();
  PruneConnections();
  Announce();
  log_.Write({.level = base::LogLevel::kInfo,
              .step = base::Step::kListen,
              .peer = settings_.callers.address,
              .message = "started"});
  // NOTE: started only after Announce(), which writes to the log's stream: the
  // control thread would write to it at the same time.
  control_.runner().Post([this] { controllers_.Start(); });
  return base::Done{};
}

void OpaqueDaemon::Announce() {
  const auto field = [](const char* name, const std::string& value) {
    return base::JsonString(name) + ":" + base::JsonString(value);
  };
  const auto address = [](const std::string& text,
                          const http1::CallerListener& listener) {
    return text.substr(0, text.rfind(':') + 1) +
           std::to_string(listener.port());
  };
  announce_ << "{" << field("ready", "medlarspread") << ","
            << field("name", settings_.vm.name) << ","
            << field("caller", address(settings_.callers.address, *callers_))
            << ","
            << field("readiness",
                     address(settings_.callers.readiness_address, *readiness_))
            << ","
            << field("metrics",
                     address(settings_.operators.address, *metrics_page_))
            << "}\n"
            << std::flush;
}

void OpaqueDaemon::Run() {
  traffic_context_.run();
}

std::shared_ptr<http1::CallerListener> OpaqueDaemon::MakeCallerListener() {
  http1::CallerListener::Settings listener;
  listener.address = settings_.callers.address;
  listener.limits = [this] {
    return ToLimits(blackboard_.routes.Read()->limits);
  };
  listener.handle = [this](http1::Request request,
                           http1::Respond respond) -> http1::Abandon {
    auto incoming = platform::DecodeRequest(std::move(request));
    if (!incoming.is_ok()) {
      metrics_.Count(metrics::Counter::kRequestsInvalid);
      log_.DidFail(incoming.error(), "rejected an invalid request");
      respond(platform::EncodeInvalid(incoming.error()));
      return [] {};
    }
    DeductWaitTime(incoming.value());
    return queries_.Submit(
        std::move(incoming.value()),
        [respond = std::move(respond)](query::ForwardedAnswer answer) {
          respond(platform::EncodeAnswer(std::move(answer)));
        });
  };
  return std::make_shared<http1::CallerListener>(traffic_context_,
                                                 std::move(listener), clock_);
}

http1::Abandon OpaqueDaemon::SubmitPart(query::IncomingRequest request,
                                        http1::Respond respond) {
  struct Part {
    bool is_abandoned = false;
    http1::Abandon abandon = [] {};
  };
  const auto part = std::make_shared<Part>();
  const auto submit = [this, part, request = std::move(request),
                       respond = std::move(respond)] {
    if (part->is_abandoned) {
      return;
    }
    part->abandon =
        queries_.Submit(request, [respond](query::ForwardedAnswer answer) {
          respond(platform::EncodePartAnswer(std::move(answer)));
        });
  };
  // NOTE: submits after two rounds of the event loop. The first lets the
  // connection continue to read; by the second it has noticed whether the peer
  // closed it. If this daemon was frozen, the peer has given up on the request
  // long ago, and no leaf must work on it.
  boost::asio::post(traffic_context_, [this, submit] {
    boost::asio::post(traffic_context_, submit);
  });
  return [part] {
    part->is_abandoned = true;
    part->abandon();
  };
}

void OpaqueDaemon::DeductWaitTime(query::IncomingRequest& request) {
  request.waited = traffic_lag_.Estimate();
  if (request.deadline) {
    *request.deadline -= request.waited;
  }
}

std::shared_ptr<http1::CallerListener> OpaqueDaemon::MakePeerListener() {
  http1::CallerListener::Settings listener;
  listener.address = settings_.peers.query_address;
  listener.limits = [] {
    http1::MessageLimits limits;
    limits.header_bytes = kPeerHeaderBytes;
    limits.body_bytes = kPeerBodyBytes;
    limits.idle_timeout = kPeerIdleTimeout;
    return limits;
  };
  listener.handle = [this](http1::Request request,
                           http1::Respond respond) -> http1::Abandon {
    auto decoded = platform::DecodePeerMessage(std::move(request));
    if (!decoded.is_ok()) {
      log_.DidFail(decoded.error(), "rejected an invalid request from a peer");
      respond(platform::EncodeInvalid(decoded.error()));
      return [] {};
    }
    auto* incoming = std::get_if<query::IncomingRequest>(&decoded.value());
    if (incoming == nullptr) {
      const auto& probe = std::get<platform::PeerProbe>(decoded.value());
      respond(platform::EncodeProbeAnswer(
          queries_.CheckPart(probe.request_id, probe.most_missing)));
      return [] {};
    }
    // A daemon that was frozen reads a request long after it was sent.
    DeductWaitTime(*incoming);
    return SubmitPart(std::move(*incoming), std::move(respond));
  };
  return std::make_shared<http1::CallerListener>(traffic_context_,
                                                 std::move(listener), clock_);
}

std::shared_ptr<http1::CallerListener> OpaqueDaemon::MakePageListener(
    const std::string& address,
    std::function<http1::Response()> render) {
  http1::CallerListener::Settings listener;
  listener.address = address;
  listener.limits = [] { return http1::MessageLimits{}; };
  listener.handle = [render = std::move(render)](
                        const http1::Request&,
                        const http1::Respond& respond) -> http1::Abandon {
    respond(render());
    return [] {};
  };
  return std::make_shared<http1::CallerListener>(traffic_context_,
                                                 std::move(listener), clock_);
}

http1::Response OpaqueDaemon::RenderReadiness() const {
  const auto lifecycle = blackboard_.lifecycle.Read();
  const bool is_ready = lifecycle->state == LifecycleState::kReady;
  return MakeText(
      is_ready ? http1::Status::ok : http1::Status::service_unavailable,
      lifecycle->reason);
}

http1::Response OpaqueDaemon::RenderMetrics() {
  metrics_.Set(metrics::Gauge::kRequestsInFlight, queries_.in_flight());
  metrics_.Set(metrics::Gauge::kTargetsRevision,
               blackboard_.routes.Read()->revision);
  const auto store = blackboard_.store.Read();
  metrics_.Set(metrics::Gauge::kStoreEra, store->era);
  metrics_.Set(metrics::Gauge::kStoreRevision, store->revision);
  metrics_.Set(
      metrics::Gauge::kLiveVms,
      static_cast<std::int64_t>(blackboard_.membership.Read()->members.size()));
  return MakeText(http1::Status::ok, metrics_.Render());
}

double OpaqueDaemon::ConnectionShare(
    const blackboard::Upstream& upstream) const {
  return kPlannedConnectionShare * upstream.connections *
         queries_.PartOf(upstream.collection);
}

void OpaqueDaemon::Record(const burn::RequestRecord& record) {
  using metrics::ClassCounter;
  ClassCounter counter = ClassCounter::kRequestsUnknown;
  if (record.outcome == burn::RequestOutcome::kAnswered) {
    counter = record.coverage < 1.0 ? ClassCounter::kRequestsPartial
                                    : ClassCounter::kRequestsAnswered;
  } else if (record.outcome == burn::RequestOutcome::kRefused) {
    counter = ClassCounter::kRequestsRefused;
  }
  metrics_.Count(counter, record.class_name);
  metrics_.Count(metrics::Counter::kUpstreamSends, record.upstream_sends);
  metrics_.Observe(metrics::ClassDistribution::kRequestLatency,
                   record.class_name, record.latency);
}

void OpaqueDaemon::CountRepeat(const query::ShardAttempt& attempt) {
  using metrics::Counter;
  Counter counter = Counter::kResendsUnsent;
  if (attempt.paid) {
    counter = *attempt.paid == admission::Allowance::kEarned
                  ? Counter::kRepeatsEarned
                  : Counter::kRepeatsSlack;
  }
  metrics_.Count(counter);
}

void OpaqueDaemon::CountLeafReply(const upstream::ForwardReply& reply) {
  using metrics::Counter;
  if (reply.outcome == upstream::LeafOutcome::kAnswered) {
    metrics_.Count(Counter::kUpstreamAnswers);
    return;
  }
  metrics_.Count(upstream::MayHaveRun(reply.outcome)
                     ? Counter::kUpstreamLosses
                     : Counter::kUpstreamRefusals);
  if (reply.outcome == upstream::LeafOutcome::kReplaced) {
    metrics_.Count(Counter::kUpstreamReplaced);
  }
  if (reply.error.code == base::ErrorCode::kTooLarge) {
    metrics_.Count(Counter::kUpstreamResponsesOverLimit);
  }
}

void OpaqueDaemon::PruneConnections() {
  traffic_lag_.ExpectTick(clock_.Now() + kPruneInterval);
  traffic_.After(kPruneInterval, [this] {
    leaf_client_.Prune(*blackboard_.upstreams.Read());
    if (settings_.measuring.without != base::Mechanism::kSpareConnections) {
      leaf_client_.CloseSpare();
    }
    PruneConnections();
  });
}

void OpaqueDaemon::WaitForSignal() {
  signals_.async_wait(
      [this](const boost::system::error_code& error, int signal) {
        if (error) {
          return;
        }
        if (signal == SIGHUP) {
          Reload("signal");
        } else if (stop_began_ == base::MonotonicTime{}) {
          StartGracefulStop();
        }
        WaitForSignal();
      });
}

void OpaqueDaemon::Reload(const char* why) {
  auto loaded = settings::LoadSettings(settings_.file);
  if (!loaded.is_ok()) {
    log_.DidFail(
        loaded.error(),
        "reloading the settings failed; keeping the previous settings");
    return;
  }
  settings_ = std::move(loaded.value());
  log_.set_level(settings_.log.level);
  log_.Write({.level = base::LogLevel::kInfo,
              .step = base::Step::kSettings,
              .message = std::string("reloaded the settings: ") + why});
}

void OpaqueDaemon::WatchSettingsFile() {
  std::error_code error;
  const auto written = std::filesystem::last_write_time(settings_.file, error);
  const bool is_first = settings_written_ == decltype(settings_written_){};
  if (!error && written != settings_written_) {
    settings_written_ = written;
    if (!is_first) {
      Reload("the file has changed");
    }
  }
  traffic_.After(kSettingsCheckInterval, [this] { WatchSettingsFile(); });
}

void OpaqueDaemon::StartGracefulStop() {
  stop_began_ = clock_.Now();
  blackboard_.lifecycle.Write({LifecycleState::kStopping, "stopping"});
  log_.Write({.level = base::LogLevel::kInfo,
              .step = base::Step::kStop,
              .message = "stopping with " +
                         std::to_string(queries_.in_flight()) +
                         " requests in flight"});
  callers_->StartDraining();
  if (peer_listener_) {
    peer_listener_->StartDraining();
  }
  traffic_.After(kLoadBalancerDelay, [this] { CloseCallers(); });
}

void OpaqueDaemon::CloseCallers() {
  callers_->StopAccepting();
  ExitWhenDrained();
}

void OpaqueDaemon::ExitWhenDrained() {
  callers_->CloseIdle();
  const bool is_over =
      clock_.Now() - stop_began_ > settings_.stop.bound - kExitMargin;
  const bool is_in_work =
      callers_->connections() > 0 || queries_.in_flight() > 0;
  if (is_in_work && !is_over) {
    traffic_.After(kDrainPollInterval, [this] { ExitWhenDrained(); });
    return;
  }
  log_.Write({.level = base::LogLevel::kInfo,
              .step = base::Step::kStop,
              .message = "stopped; cut off " +
                         std::to_string(callers_->requests_in_flight()) +
                         " requests"});
  reports_->Stop();
  datagrams_->Close();
  traffic_context_.stop();
}

}  // namespace medlarspread::daemon
