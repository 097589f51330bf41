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
      blackboard_(blackboard),
      tracker_(std::move(tracker)),
      ports_(std::move(ports)),
      log_(std::move(log)),
      peer_health_(std::make_shared<routing::PeerHealth>(clock_)) {
  FanOutDependencies dependencies{
      clock_,
      traffic,
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
      std::move(traffic),
      ports_.peers,
      peer_health_,
      [this](ForwardedRequest request, FanOutSession::Done done) {
        std::vector<std::string> shards = CollectionsOf(*request.route);
        return std::make_shared<FanOutSession>(
            dependencies_, std::move(request), std::move(shards),
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
  if (!request.handed_by_revision) {
    return std::nullopt;
  }
  std::string why;
  if (*request.handed_by_revision != Routes().view().revision) {
    why = "handed over by routes of revision " +
          std::to_string(*request.handed_by_revision);
  } else if (route == nullptr || !IsToAllShards(*route)) {
    why = "handed over, but not for all shards";
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
  const blackboard::Member* peer = PeerFor(request, choice);
  const bool is_for_peer = request.handed_by_revision.has_value();
  ForwardedRequest forwarded;
  forwarded.request_id = std::move(request.request_id);
  forwarded.deadline = request.deadline.value_or(route->timeout);
  forwarded.waited = request.waited;
  forwarded.routes_revision = Routes().view().revision;
  forwarded.message = std::move(request.message);
  forwarded.route = route;
  FanOutSession::Done did_end =
      [this, route, is_for_peer, in_flight = in_flight_,
       asked = clock_.WallMilliseconds(), done = std::move(done)](
          ForwardedAnswer answer, const FanOutSummary& summary) {
        --*in_flight;
        if (is_for_peer) {
          ports_.did_fan_out_for_peer(summary.sends);
        } else {
          Record(*route, asked, answer, summary);
        }
        done(std::move(answer));
      };
  if (peer != nullptr) {
    return StartAndAbandon(
        std::make_shared<HandoverSession>(handover_, std::move(forwarded),
                                          *peer, std::move(did_end)),
        in_flight_);
  }
  return StartAndAbandon(std::make_shared<FanOutSession>(
                             dependencies_, std::move(forwarded),
                             std::move(collections), std::move(did_end)),
                         in_flight_);
}

const blackboard::Member* ForwardService::PeerFor(
    const IncomingRequest& request,
    const routing::AggregatorChoice& choice) {
  if (request.handed_by_revision) {
    return nullptr;
  }
  for (const blackboard::Member& peer : choice.peers) {
    if (!peer_health_->is_avoided(peer.name)) {
      return &peer;
    }
  }
  return nullptr;
}

void ForwardService::ShareOut(const std::vector<std::string>& collections,
                              const routing::AggregatorChoice& choice) {
  admission::Senders senders;
  senders.daemons =
      static_cast<int>(blackboard_.membership.Read()->members.size());
  // Without entries everybody sends, and all are alike.
  senders.aggregators = choice.entries > 0 ? choice.aggregators : 0;
  senders.is_aggregator = choice.is_aggregator;
  const double part = admission::PartOf(senders);
  const admission::ExtraSendLimits limits =
      admission::PlanExtraSends(options_.extra_sends(), part);
  for (const std::string& collection : collections) {
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
