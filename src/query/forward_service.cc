// Routing, selection of collections, and sessions. Admission checks are in
// forward_admission.cc.

#include "src/query/forward_service.h"

#include <algorithm>
#include <cassert>
#include <utility>

#include "src/base/overloaded.h"
#include "src/query/route_targets.h"

namespace medlarspread::query {

namespace {

using base::Step;

bool IsToAllShards(const blackboard::WorkRoute& route) {
  return std::holds_alternative<blackboard::AllShards>(route.destination);
}

burn::RequestOutcome OutcomeOf(const ForwardedAnswer& answer) {
  return std::visit(
      base::Overloaded{
          [](const LeafResponse&) { return burn::RequestOutcome::kAnswered; },
          [](const MergedRecords&) { return burn::RequestOutcome::kAnswered; },
          [](const NoRoute&) { return burn::RequestOutcome::kRefused; },
          [](const Refused&) { return burn::RequestOutcome::kRefused; },
          [](const Unknown&) { return burn::RequestOutcome::kUnknown; }},
      answer);
}

// If a peer refuses a part, the daemon that handed it over sends the part
// itself. It must not do so for a request that crashes leaves, which it may not
// know of yet, so a quarantine refusal is converted to another answer.
ForwardedAnswer AnswerForPeer(ForwardedAnswer answer) {
  const auto* refused = std::get_if<Refused>(&answer);
  if (refused == nullptr || refused->kind != RefusalKind::kQuarantined) {
    return answer;
  }
  return Unknown{refused->request_id, refused->error};
}

template <typename Session>
GatherPart AsGatherPart(std::shared_ptr<Session> session) {
  return {[session] { session->Start(); },
          [session](GatherPart::Report report) {
            session->Check(std::move(report));
          },
          [session](int most_missing) { session->Relax(most_missing); },
          [session] { return session->may_have_run(); },
          [session] { (void)session->Abandon(); }};
}

// Starts a session and returns a function that cancels it.
template <typename Session>
ForwardService::Abandon StartCancellable(std::shared_ptr<Session> session) {
  session->Start();
  return [session = std::move(session)] { (void)session->Abandon(); };
}

}  // namespace

ForwardService::ForwardService(
    Options options,
    base::Clock clock,
    base::TaskRunner traffic,
    const blackboard::Blackboard& blackboard,
    std::shared_ptr<routing::LeafTracker> tracker,
    std::shared_ptr<quarantine::Quarantine> quarantine,
    Ports ports,
    base::Log log)
    : options_(std::move(options)),
      clock_(std::move(clock)),
      traffic_(std::move(traffic)),
      blackboard_(blackboard),
      tracker_(std::move(tracker)),
      quarantine_(std::move(quarantine)),
      ports_(std::move(ports)),
      log_(std::move(log)),
      peer_health_(std::make_shared<routing::PeerHealth>(clock_)) {
  FanOutDependencies dependencies{
      clock_,
      traffic_,
      ports_.leaves,
      tracker_,
      [this] { return Index(); },
      [this](const std::string& collection) {
        return BudgetOf(collection).Take(clock_.Now());
      },
      [this](const std::string& collection) {
        BudgetOf(collection).DidRequest(clock_.Now());
      },
      ports_.did_repeat,
      ports_.did_end_send,
      quarantine_,
      log_,
      options_.ablation};
  dependencies_ =
      std::make_shared<const FanOutDependencies>(std::move(dependencies));
  HandoverDependencies handover{
      clock_,
      traffic_,
      ports_.peers,
      peer_health_,
      [this](ForwardedRequest request, std::vector<std::string> shards,
             FanOutSession::Done done) {
        return AsGatherPart(
            FanOutHere(std::move(request), std::move(shards), std::move(done)));
      },
      log_};
  handover_ = std::make_shared<const HandoverDependencies>(std::move(handover));
}

ForwardService::Abandon ForwardService::Submit(IncomingRequest request,
                                               ForwardedCallback done) {
  if (auto refusal = CheckAdmission(request)) {
    log_.DidFail(refusal->error, "refused", request.request_id);
    done(std::move(*refusal));
    return [] {};
  }
  const std::string_view target(request.message->target().data(),
                                request.message->target().size());
  auto route = Routes().Find(request.host, target);
  if (auto refusal = CheckHandover(request, route.get())) {
    log_.DidFail(refusal->error, "refused", request.request_id);
    done(std::move(*refusal));
    return [] {};
  }
  if (!route) {
    log_.Write({.level = base::LogLevel::kInfo,
                .step = Step::kAdmit,
                .request_id = request.request_id,
                .message = "no route for host " + request.host +
                           " in revision " +
                           std::to_string(Routes().view().revision)});
    done(NoRoute{});
    return [] {};
  }
  request.fingerprint =
      quarantine::FingerprintOf(request.host, *request.message);
  request.is_retrial =
      !request.handover && quarantine_->TakeRetrial(request.fingerprint);
  if (auto refusal = CheckQuarantine(request)) {
    log_.DidFail(refusal->error, "refused", request.request_id);
    done(request.handover ? AnswerForPeer(std::move(*refusal))
                          : ForwardedAnswer(std::move(*refusal)));
    return [] {};
  }
  return StartSession(std::move(request), std::move(route), std::move(done));
}

std::vector<std::string> ForwardService::CollectionsOf(
    const blackboard::WorkRoute& route) {
  return std::visit(
      base::Overloaded{
          [](const blackboard::OneCollection& one) {
            return std::vector<std::string>{one.collection};
          },
          [&](const blackboard::WeightedCollections& weighted) {
            return std::vector<std::string>{
                turns_.Next(route.targets.name, weighted)};
          },
          [](const blackboard::AllShards& all) { return all.shards; }},
      route.destination);
}

ForwardService::Abandon ForwardService::StartSession(
    IncomingRequest request,
    routing::RouteTable::RoutePointer route,
    ForwardedCallback done) {
  std::vector<std::string> collections = CollectionsOf(*route);
  const routing::AggregatorChoice choice =
      IsToAllShards(*route) &&
              options_.ablation.has(base::Mechanism::kAggregators)
          ? aggregators_.For(collections, blackboard_.membership.Read(),
                             Index())
          : routing::AggregatorChoice{};
  UpdateAllotments(collections, choice);
  if (request.handover) {
    return StartPart(std::move(request), std::move(route), std::move(done));
  }
  if (auto refusal = CheckBacklog(request, *route, collections)) {
    log_.DidFail(refusal->error, "refused", request.request_id);
    done(std::move(*refusal));
    return [] {};
  }
  FanOutSession::Done did_end =
      [this, route, asked = clock_.WallMilliseconds(),
       guard = EnterGate(*route, collections.front()),
       gate = collections.front(), in_flight = in_flight_,
       done = std::move(done)](ForwardedAnswer answer,
                               const FanOutSummary& summary) {
        Record(*route, asked, answer, summary);
        if (std::holds_alternative<Unknown>(answer) && summary.refusals > 0) {
          in_flight->gates[gate].DidOverload(ExpectWork(*route, {}),
                                             SlotsOf({gate}), clock_.Now());
        }
        done(std::move(answer));
      };
  ForwardedRequest forwarded =
      MakeForwarded(std::move(request), std::move(route));
  // A suspect request is tried at one leaf first, which an aggregator cannot do
  // for the parts of others.
  const bool is_suspect = quarantine_->StandingOf(forwarded.fingerprint) !=
                          quarantine::Standing::kClear;
  const bool is_handed_on =
      !is_suspect && std::any_of(choice.parts.begin(), choice.parts.end(),
                                 [](const routing::AggregatorPart& part) {
                                   return !part.peers.empty();
                                 });
  if (is_handed_on) {
    return StartGather(std::move(forwarded), choice.parts, std::move(did_end));
  }
  return StartCancellable(FanOutHere(
      std::move(forwarded), std::move(collections), std::move(did_end)));
}

ForwardService::Abandon ForwardService::StartPart(
    IncomingRequest request,
    routing::RouteTable::RoutePointer route,
    ForwardedCallback done) {
  ++in_flight_->requests;
  const std::shared_ptr<void> guard(
      nullptr, [in_flight = in_flight_, id = request.request_id](void*) {
        --in_flight->requests;
        in_flight->parts_for_peers.erase(id);
      });
  std::vector<std::string> shards = std::move(request.handover->shards);
  const int leaves_of_others = request.handover->leaves_of_others;
  ForwardedRequest forwarded =
      MakeForwarded(std::move(request), std::move(route));
  forwarded.is_part = true;
  forwarded.leaves_of_others = leaves_of_others;
  const std::string id = forwarded.request_id;
  auto session =
      FanOutHere(std::move(forwarded), std::move(shards),
                 [this, guard, done = std::move(done)](
                     ForwardedAnswer answer, const FanOutSummary& summary) {
                   ports_.did_fan_out_for_peer(summary.sends);
                   done(AnswerForPeer(std::move(answer)));
                 });
  in_flight_->parts_for_peers[id] = session;
  return StartCancellable(std::move(session));
}

ForwardedRequest ForwardService::MakeForwarded(
    IncomingRequest request,
    routing::RouteTable::RoutePointer route) {
  ForwardedRequest forwarded;
  forwarded.request_id = std::move(request.request_id);
  forwarded.deadline = request.deadline.value_or(route->timeout);
  forwarded.waited = request.waited;
  forwarded.routes_revision = Routes().view().revision;
  forwarded.fingerprint = request.fingerprint;
  forwarded.is_retrial = request.is_retrial;
  forwarded.message = std::move(request.message);
  forwarded.route = std::move(route);
  return forwarded;
}

ForwardService::Abandon ForwardService::StartGather(
    ForwardedRequest request,
    const std::vector<routing::AggregatorPart>& parts,
    FanOutSession::Done done) {
  auto session = std::make_shared<GatherSession>(
      GatherSession::Dependencies{clock_, traffic_, log_}, request,
      std::move(done));
  request.is_part = true;
  for (const routing::AggregatorPart& part : parts) {
    session->Add(part.shards.size(), [&](FanOutSession::Done did_end) {
      return MakePart(request, part, std::move(did_end));
    });
  }
  return StartCancellable(std::move(session));
}

GatherPart ForwardService::MakePart(const ForwardedRequest& request,
                                    const routing::AggregatorPart& part,
                                    FanOutSession::Done done) {
  const auto peer =
      std::find_if(part.peers.begin(), part.peers.end(),
                   [this](const blackboard::Member& member) {
                     return !peer_health_->is_avoided(member.name);
                   });
  if (peer == part.peers.end()) {
    return AsGatherPart(FanOutHere(request, part.shards, std::move(done)));
  }
  return AsGatherPart(std::make_shared<HandoverSession>(
      handover_, request, part.shards, *peer, std::move(done),
      [this, part](const ForwardedRequest& again, FanOutSession::Done ended) {
        return MakePart(again, part, std::move(ended));
      }));
}

std::shared_ptr<FanOutSession> ForwardService::FanOutHere(
    ForwardedRequest request,
    std::vector<std::string> shards,
    FanOutSession::Done done) {
  return std::make_shared<FanOutSession>(dependencies_, std::move(request),
                                         std::move(shards), std::move(done));
}

std::optional<int> ForwardService::CheckPart(const std::string& request_id,
                                             std::optional<int> most_missing) {
  const auto row = in_flight_->parts_for_peers.find(request_id);
  const auto session =
      row == in_flight_->parts_for_peers.end() ? nullptr : row->second.lock();
  if (!session) {
    return std::nullopt;
  }
  const int missing = session->missing();
  if (most_missing) {
    session->Relax(*most_missing);
  }
  return missing;
}

void ForwardService::UpdateAllotments(
    const std::vector<std::string>& collections,
    const routing::AggregatorChoice& choice) {
  admission::Senders everybody;
  everybody.daemons =
      static_cast<int>(blackboard_.membership.Read()->members.size());
  for (const std::string& collection : collections) {
    const auto senders = choice.senders.find(collection);
    const double part = admission::PartOf(
        senders == choice.senders.end() ? everybody : senders->second);
    const admission::ExtraSendLimits limits =
        admission::PlanExtraSends(options_.extra_sends(), part);
    const auto row = allotments_.find(collection);
    if (row != allotments_.end()) {
      row->second.part = part;
      row->second.extra_sends.set_limits(limits);
      continue;
    }
    allotments_.emplace(collection, Allotment{part, admission::ExtraSendBudget(
                                                        limits, clock_.Now())});
  }
}

double ForwardService::PartOf(const std::string& collection) const {
  const auto row = allotments_.find(collection);
  if (row != allotments_.end()) {
    return row->second.part;
  }
  const auto daemons = blackboard_.membership.Read()->members.size();
  return 1.0 / static_cast<double>(std::max<std::size_t>(1, daemons));
}

const routing::RouteTable& ForwardService::Routes() {
  auto view = blackboard_.routes.Read();
  if (!routes_ || view != routes_view_) {
    routes_view_ = view;
    routes_ = std::make_unique<routing::RouteTable>(std::move(view));
  }
  return *routes_;
}

std::shared_ptr<const routing::LeafIndex> ForwardService::Index() {
  auto view = blackboard_.upstreams.Read();
  if (!index_ || view != index_->view()) {
    tracker_->Prune(*view);
    index_ = std::make_shared<const routing::LeafIndex>(std::move(view));
  }
  return index_;
}

admission::ExtraSendBudget& ForwardService::BudgetOf(
    const std::string& collection) {
  const auto row = allotments_.find(collection);
  assert(row != allotments_.end());
  return row->second.extra_sends;
}

void ForwardService::Record(const blackboard::WorkRoute& route,
                            std::int64_t asked_wall_ms,
                            const ForwardedAnswer& answer,
                            const FanOutSummary& summary) const {
  burn::RequestRecord record;
  record.class_name = route.targets.name;
  record.asked_wall_ms = asked_wall_ms;
  record.targets_revision = routes_view_ ? routes_view_->revision : 0;
  record.latency_target = route.targets.latency;
  record.coverage_target = route.targets.coverage;
  record.latency_percentile = route.targets.percentile;
  record.coverage_percentile = route.targets.coverage_percentile;
  record.outcome = OutcomeOf(answer);
  record.latency = summary.latency;
  record.coverage = summary.shards == 0
                        ? 0.0
                        : static_cast<double>(summary.answered) /
                              static_cast<double>(summary.shards);
  record.shard_answers = summary.answered;
  record.upstream_sends = summary.sends;
  ports_.record(record);
}

}  // namespace medlarspread::query
