// Route, collections, session.

#include "src/query/forward_service.h"

#include <algorithm>
#include <cassert>
#include <utility>

#include "src/base/overloaded.h"

namespace medlarspread::query {

namespace {

using base::ErrorCode;
using base::Step;

// A daemon that knows no routes yet learns them within a store call or two.
constexpr base::Duration kRetryWhenUnknown = base::Milliseconds(300);
constexpr base::Duration kRetryWhenFull = base::Milliseconds(100);

bool IsToAllShards(const blackboard::WorkRoute& route) {
  return std::holds_alternative<blackboard::AllShards>(route.destination);
}

bool AreShardsOf(const blackboard::WorkRoute& route,
                 const upstream::Handover& handover) {
  if (!IsToAllShards(route) || handover.shards.empty()) {
    return false;
  }
  const auto& shards =
      std::get<blackboard::AllShards>(route.destination).shards;
  return std::all_of(handover.shards.begin(), handover.shards.end(),
                     [&](const std::string& shard) {
                       return std::find(shards.begin(), shards.end(), shard) !=
                              shards.end();
                     });
}

burn::RequestOutcome OutcomeOf(const ForwardedAnswer& answer) {
  return std::visit(
      base::Overloaded{
          [](const PassedOn&) { return burn::RequestOutcome::kAnswered; },
          [](const Gathered&) { return burn::RequestOutcome::kAnswered; },
          [](const NoRoute&) { return burn::RequestOutcome::kRefused; },
          [](const Refused&) { return burn::RequestOutcome::kRefused; },
          [](const Unknown&) { return burn::RequestOutcome::kUnknown; }},
      answer);
}

template <typename Session>
GatherPart AsGatherPart(std::shared_ptr<Session> session) {
  return {[session] { session->Start(); },
          [session](GatherPart::Report report) {
            session->Check(std::move(report));
          },
          [session](int most_missing) { session->Relax(most_missing); },
          [session] { (void)session->Abandon(); }};
}

// Starts a session and returns what gives it up.
template <typename Session>
ForwardService::Abandon StartAndAbandon(std::shared_ptr<Session> session,
                                        std::shared_ptr<int> in_flight) {
  session->Start();
  return [session = std::move(session), in_flight = std::move(in_flight),
          is_left = false]() mutable {
    if (!std::exchange(is_left, true) && session->Abandon()) {
      --*in_flight;
    }
  };
}

}  // namespace

ForwardService::ForwardService(Options options,
                               base::Clock clock,
                               base::TaskRunner traffic,
                               const blackboard::Blackboard& blackboard,
                               std::shared_ptr<routing::LeafTracker> tracker,
                               Ports ports,
                               base::Log log)
    : options_(std::move(options)),
      clock_(std::move(clock)),
      traffic_(std::move(traffic)),
      blackboard_(blackboard),
      tracker_(std::move(tracker)),
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
      log_};
  dependencies_ =
      std::make_shared<const FanOutDependencies>(std::move(dependencies));
  HandoverDependencies handover{
      clock_,
      traffic_,
      ports_.peers,
      peer_health_,
      [this](ForwardedRequest request, std::vector<std::string> shards,
             FanOutSession::Done done) {
        return FanOutHere(std::move(request), std::move(shards),
                          std::move(done));
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
  return StartSession(std::move(request), std::move(route), std::move(done));
}

std::optional<Refused> ForwardService::CheckAdmission(
    const IncomingRequest& request) const {
  Refused refusal;
  refusal.request_id = request.request_id;
  if (blackboard_.routes.Read()->revision == 0) {
    refusal.error = base::MakeError(ErrorCode::kUnavailable, Step::kAdmit, "",
                                    "no routes have been learnt yet");
    refusal.retry_after = kRetryWhenUnknown;
    return refusal;
  }
  if (*in_flight_ >= options_.most_in_flight) {
    refusal.error = base::MakeError(ErrorCode::kOverloaded, Step::kAdmit, "",
                                    "too many requests in flight");
    refusal.retry_after = kRetryWhenFull;
    refusal.kind = RefusalKind::kOverload;
    return refusal;
  }
  return std::nullopt;
}

std::optional<Refused> ForwardService::CheckHandover(
    const IncomingRequest& request,
    const blackboard::WorkRoute* route) {
  if (!request.handover) {
    return std::nullopt;
  }
  std::string why;
  if (request.handover->routes_revision != Routes().view().revision) {
    why = "handed over by routes of revision " +
          std::to_string(request.handover->routes_revision);
  } else if (route == nullptr || !AreShardsOf(*route, *request.handover)) {
    why = "handed over for other shards than the route's";
  } else if (blackboard_.lifecycle.Read()->state ==
             blackboard::LifecycleState::kStopping) {
    why = "this daemon is stopping";
  } else {
    return std::nullopt;
  }
  Refused refusal;
  refusal.request_id = request.request_id;
  refusal.error = base::MakeError(ErrorCode::kUnavailable, Step::kAdmit, "",
                                  std::move(why));
  return refusal;
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
                turns_.Take(route.targets.name, weighted)};
          },
          [](const blackboard::AllShards& all) { return all.shards; }},
      route.destination);
}

ForwardService::Abandon ForwardService::StartSession(
    IncomingRequest request,
    routing::RouteTable::RoutePointer route,
    ForwardedCallback done) {
  ++*in_flight_;
  std::vector<std::string> collections = CollectionsOf(*route);
  const routing::AggregatorChoice choice =
      IsToAllShards(*route)
          ? aggregators_.For(collections, blackboard_.membership.Read(),
                             Index())
          : routing::AggregatorChoice{};
  ShareOut(collections, choice);
  const bool is_for_peer = request.handover.has_value();
  ForwardedRequest forwarded;
  forwarded.request_id = std::move(request.request_id);
  forwarded.deadline = request.deadline.value_or(route->timeout);
  forwarded.waited = request.waited;
  forwarded.routes_revision = Routes().view().revision;
  forwarded.message = std::move(request.message);
  forwarded.route = route;
  FanOutSession::Done did_end =
      [this, route, is_for_peer, id = forwarded.request_id,
       in_flight = in_flight_, asked = clock_.WallMilliseconds(),
       done = std::move(done)](ForwardedAnswer answer,
                               const FanOutSummary& summary) {
        --*in_flight;
        if (is_for_peer) {
          parts_for_peers_.erase(id);
          ports_.did_fan_out_for_peer(summary.sends);
        } else {
          Record(*route, asked, answer, summary);
        }
        done(std::move(answer));
      };
  const bool is_handed_on =
      !is_for_peer && std::any_of(choice.parts.begin(), choice.parts.end(),
                                  [](const routing::AggregatorPart& part) {
                                    return !part.peers.empty();
                                  });
  if (is_handed_on) {
    return StartGather(std::move(forwarded), choice.parts, std::move(did_end));
  }
  if (is_for_peer) {
    forwarded.is_part = true;
    collections = std::move(request.handover->shards);
  }
  const std::string id = forwarded.request_id;
  auto session = FanOutHere(std::move(forwarded), std::move(collections),
                            std::move(did_end));
  if (!is_for_peer) {
    return StartAndAbandon(std::move(session), in_flight_);
  }
  parts_for_peers_[id] = session;
  return [this, id,
          abandon = StartAndAbandon(std::move(session), in_flight_)]() mutable {
    parts_for_peers_.erase(id);
    abandon();
  };
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
  return StartAndAbandon(std::move(session), in_flight_);
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
      handover_, request, part.shards, *peer, std::move(done)));
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
  const auto row = parts_for_peers_.find(request_id);
  const auto session =
      row == parts_for_peers_.end() ? nullptr : row->second.lock();
  if (!session) {
    return std::nullopt;
  }
  const int missing = session->missing();
  if (most_missing) {
    session->Relax(*most_missing);
  }
  return missing;
}

void ForwardService::ShareOut(const std::vector<std::string>& collections,
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
