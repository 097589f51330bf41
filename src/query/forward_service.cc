// Route, collections, session.

#include "src/query/forward_service.h"

#include <utility>

#include "src/base/overloaded.h"

namespace medlarspread::query {

namespace {

using base::ErrorCode;
using base::Step;

// A daemon that knows no routes yet learns them within a store call or two.
constexpr base::Duration kRetryWhenUnknown = base::Milliseconds(300);
constexpr base::Duration kRetryWhenFull = base::Milliseconds(100);

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
      log_(std::move(log)) {
  FanOutDependencies dependencies{clock_,
                                  std::move(traffic),
                                  ports_.leaves,
                                  tracker_,
                                  [this] { return Index(); },
                                  [this](const std::string& collection) {
                                    return BudgetOf(collection).Take();
                                  },
                                  [this](const std::string& collection) {
                                    BudgetOf(collection).DidSucceed();
                                  },
                                  log_};
  dependencies_ =
      std::make_shared<const FanOutDependencies>(std::move(dependencies));
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
  ForwardedRequest forwarded;
  forwarded.request_id = std::move(request.request_id);
  forwarded.deadline = request.deadline.value_or(route->timeout);
  forwarded.routes_revision = Routes().view().revision;
  forwarded.message = std::move(request.message);
  forwarded.route = route;
  auto session = std::make_shared<FanOutSession>(
      dependencies_, std::move(forwarded), std::move(collections),
      [this, route, in_flight = in_flight_, asked = clock_.WallMilliseconds(),
       done = std::move(done)](ForwardedAnswer answer,
                               const FanOutSummary& summary) {
        --*in_flight;
        Record(*route, asked, answer, summary);
        done(std::move(answer));
      });
  session->Start();
  return [session, in_flight = in_flight_, is_left = false]() mutable {
    if (!std::exchange(is_left, true) && session->Abandon()) {
      --*in_flight;
    }
  };
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

admission::RetryBudget& ForwardService::BudgetOf(
    const std::string& collection) {
  const auto row = budgets_.find(collection);
  if (row != budgets_.end()) {
    return row->second;
  }
  const ExtraSendLimits limits = options_.extra_sends();
  return budgets_.try_emplace(collection, limits.share, limits.burst)
      .first->second;
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
