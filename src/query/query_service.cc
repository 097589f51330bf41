// Checks the lifecycle and the number of requests, then starts a session.

#include "src/query/query_service.h"

#include <utility>

namespace medlarspread::query {

namespace {

using base::ErrorCode;
using base::Step;

// By then the platform's load balancer has moved the caller to another daemon.
constexpr base::Duration kRetryElsewhere = base::Milliseconds(1000);

}  // namespace

QueryService::QueryService(
    std::shared_ptr<const SessionDependencies> dependencies,
    int most_in_flight)
    : dependencies_(std::move(dependencies)), most_in_flight_(most_in_flight) {}

std::optional<Refused> QueryService::CheckAdmission(
    const CallerRequest& request) const {
  Refused refusal;
  refusal.request_id = request.request_id;
  refusal.retry_after = kRetryElsewhere;
  if (!is_accepting_) {
    refusal.error = base::MakeError(ErrorCode::kStopping, Step::kAdmit, "",
                                    "this daemon is stopping");
    return refusal;
  }
  const auto lifecycle = dependencies_->blackboard.lifecycle.Read();
  if (lifecycle->state != blackboard::LifecycleState::kReady) {
    refusal.error = base::MakeError(ErrorCode::kUnavailable, Step::kAdmit, "",
                                    "not ready: " + lifecycle->reason);
    return refusal;
  }
  if (in_flight_->load() >= most_in_flight_) {
    refusal.error = base::MakeError(ErrorCode::kOverloaded, Step::kAdmit, "",
                                    "too many requests in flight");
    refusal.kind = RefusalKind::kOverload;
    return refusal;
  }
  return std::nullopt;
}

void QueryService::Submit(CallerRequest request, AnswerCallback done) {
  // The counter is incremented first: StopAccepting() followed by in_flight()
  // == 0 then guarantees that no session is left and none will start.
  ++*in_flight_;
  auto finish = [in_flight = in_flight_,
                 done = std::move(done)](CallerAnswer answer) {
    done(std::move(answer));
    --*in_flight;
  };
  if (auto refusal = CheckAdmission(request)) {
    finish(std::move(*refusal));
    return;
  }
  const auto targets = dependencies_->blackboard.targets.Read();
  const auto row = targets->classes.find(request.class_name);
  if (row == targets->classes.end()) {
    finish(Refused{request.request_id,
                   base::MakeError(ErrorCode::kNotFound, Step::kAdmit, "",
                                   "class was removed"),
                   kRetryElsewhere, RefusalKind::kUnavailable});
    return;
  }
  std::make_shared<QuerySession>(dependencies_, std::move(request), row->second,
                                 targets->revision, std::move(finish))
      ->Start();
}

void QueryService::StopAccepting() {
  is_accepting_ = false;
}

}  // namespace medlarspread::query
