// Admission checks made before anything is sent: no routes yet, too many
// requests, an invalid handover, a quarantined request, or a backlog at the
// leaves.

#include "src/query/forward_service.h"

#include <algorithm>
#include <utility>
#include <variant>

#include "src/query/route_targets.h"

namespace medlarspread::query {

namespace {

using base::ErrorCode;
using base::Step;

// A daemon without routes receives them within one or two store calls.
constexpr base::Duration kRetryWhenUnknown = base::Milliseconds(300);
constexpr base::Duration kRetryWhenFull = base::Milliseconds(100);
// The minimum retry delay of a caller refused because of a backlog: opening a
// new connection takes about as long.
constexpr base::Duration kMinRetryAfter = base::Milliseconds(20);

bool AreShardsOf(const blackboard::WorkRoute& route,
                 const upstream::Handover& handover) {
  const auto* all = std::get_if<blackboard::AllShards>(&route.destination);
  if (all == nullptr || handover.shards.empty()) {
    return false;
  }
  return std::all_of(handover.shards.begin(), handover.shards.end(),
                     [all](const std::string& shard) {
                       return std::find(all->shards.begin(), all->shards.end(),
                                        shard) != all->shards.end();
                     });
}

}  // namespace

std::optional<Refused> ForwardService::CheckAdmission(
    const IncomingRequest& request) const {
  Refused refusal;
  refusal.request_id = request.request_id;
  if (blackboard_.routes.Read()->revision == 0) {
    refusal.error = base::MakeError(ErrorCode::kUnavailable, Step::kAdmit, "",
                                    "no routes received yet");
    refusal.retry_after = kRetryWhenUnknown;
    return refusal;
  }
  if (in_flight_->requests >= options_.most_in_flight) {
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
    why = "handed over with routes of revision " +
          std::to_string(request.handover->routes_revision);
  } else if (route == nullptr || !AreShardsOf(*route, *request.handover)) {
    why = "handed over with shards that are not of the route";
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

std::optional<Refused> ForwardService::CheckQuarantine(
    const IncomingRequest& request) const {
  const quarantine::Standing standing =
      quarantine_->StandingOf(request.fingerprint);
  if (request.is_retrial || standing == quarantine::Standing::kClear ||
      standing == quarantine::Standing::kSuspect) {
    return std::nullopt;
  }
  ports_.did_quarantine();
  Refused refusal;
  refusal.request_id = request.request_id;
  refusal.error = base::MakeError(
      ErrorCode::kQuarantined, Step::kAdmit, "",
      "leaves ended under fingerprint " +
          quarantine::ToText(request.fingerprint) + ", which is " +
          quarantine::kStandingNames.NameOf(standing));
  refusal.retry_after = quarantine_->RetryAfter(request.fingerprint);
  refusal.kind = RefusalKind::kQuarantined;
  return refusal;
}

admission::ExpectedWork ForwardService::ExpectWork(
    const blackboard::WorkRoute& route,
    base::Duration waited) const {
  return {tracker_->UnloadedServiceTime(route.targets.name),
          TimeToTarget(route, waited), route.priority};
}

std::optional<Refused> ForwardService::CheckBacklog(
    const IncomingRequest& request,
    const blackboard::WorkRoute& route,
    const std::vector<std::string>& collections) {
  admission::BacklogGate& gate = in_flight_->gates[collections.front()];
  const double slots = SlotsOf(collections);
  if (!options_.ablation.has(base::Mechanism::kBacklogGate) ||
      gate.MayAdmit(ExpectWork(route, request.waited), slots, clock_.Now())) {
    return std::nullopt;
  }
  const base::Duration wait = gate.ExpectedWait(slots, clock_.Now());
  Refused refusal;
  refusal.request_id = request.request_id;
  refusal.error =
      base::MakeError(ErrorCode::kOverloaded, Step::kAdmit, collections.front(),
                      "admitted requests would make it wait " +
                          std::to_string(wait.count() / 1000) +
                          " ms at the leaves; route=" + route.targets.name);
  // By then half of the backlog is done.
  refusal.retry_after = std::max(kMinRetryAfter, wait / 2);
  refusal.kind = RefusalKind::kOverload;
  return refusal;
}

double ForwardService::SlotsOf(const std::vector<std::string>& collections) {
  const auto index = Index();
  int slots = 0;
  for (const std::string& collection : collections) {
    for (const blackboard::Upstream* leaf : index->LeavesOf(collection)) {
      slots += leaf->slots;
    }
  }
  const auto daemons =
      std::max<std::size_t>(1, blackboard_.membership.Read()->members.size());
  return static_cast<double>(slots) /
         static_cast<double>(collections.size() * daemons);
}

std::shared_ptr<void> ForwardService::EnterGate(
    const blackboard::WorkRoute& route,
    const std::string& gate) {
  ++in_flight_->requests;
  const std::uint64_t ticket = ++in_flight_->tickets;
  in_flight_->gates[gate].DidAdmit(ticket, ExpectWork(route, {}), clock_.Now());
  return {nullptr, [in_flight = in_flight_, gate, ticket](void*) {
            --in_flight->requests;
            in_flight->gates[gate].DidFinish(ticket);
          }};
}

}  // namespace medlarspread::query
