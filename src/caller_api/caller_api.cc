// Dispatches requests by path and checks whether they can be accepted.

#include "src/caller_api/caller_api.h"

#include <utility>

#include "src/base/json_string.h"
#include "src/caller_api/answer_renderer.h"
#include "src/caller_api/pending_answer.h"
#include "src/caller_api/request_parser.h"

namespace medlarspread::caller_api {

namespace {

using base::ErrorCode;
using base::Step;
using blackboard::LifecycleState;

constexpr const char* kQueryPath = "/v1/query";
constexpr const char* kReadyPath = "/v1/ready";

// The load balancer stops using a daemon that isn't ready within about a
// second.
constexpr base::Duration kRetryWhenNotReady = base::Milliseconds(1000);
// Requests take tens to hundreds of milliseconds, so capacity is soon free
// again.
constexpr base::Duration kRetryWhenFull = base::Milliseconds(200);

http::Response RenderWrongMethod(const std::string& allowed) {
  http::Response response =
      RenderInvalid(http::kMethodNotAllowed, "method_not_allowed", "",
                    "only " + allowed + " is allowed here");
  response.headers["Allow"] = allowed;
  return response;
}

}  // namespace

CallerApi::CallerApi(CallerApiSettings settings,
                     const blackboard::Blackboard& blackboard,
                     query::SubmitRequest submit)
    : settings_(settings),
      blackboard_(blackboard),
      submit_(std::move(submit)) {}

void CallerApi::Handle(const http::Request& request, http::Responder respond) {
  if (request.path == kQueryPath) {
    if (request.method != "POST") {
      respond(RenderWrongMethod("POST"));
      return;
    }
    HandleQuery(request, respond);
    return;
  }
  if (request.path == kReadyPath) {
    respond(request.method == "GET" ? RenderReadiness()
                                    : RenderWrongMethod("GET"));
    return;
  }
  respond(RenderInvalid(http::kNotFound, "not_found", "",
                        "the paths are /v1/query and /v1/ready"));
}

void CallerApi::HandleQuery(const http::Request& request,
                            const http::Responder& respond) {
  ParsedRequest parsed = ParseCallerRequest(request.body);
  if (const auto* invalid = std::get_if<InvalidField>(&parsed)) {
    ++invalid_requests_;
    respond(RenderInvalid(http::kBadRequest, "invalid", invalid->field,
                          invalid->detail));
    return;
  }
  auto& caller_request = std::get<query::CallerRequest>(parsed);
  // Checked before the class, because a starting daemon doesn't know the
  // classes.
  const auto refusal = FindRefusal(caller_request.request_id);
  if (refusal) {
    respond(RenderAnswer(*refusal));
    return;
  }
  if (blackboard_.targets.Read()->classes.count(caller_request.class_name) ==
      0) {
    ++invalid_requests_;
    respond(RenderInvalid(http::kNotFound, "unknown_class", "class",
                          "no targets are set for this class"));
    return;
  }
  auto pending = std::make_shared<PendingAnswer>(caller_request.request_id,
                                                 respond, in_flight_);
  submit_(std::move(caller_request),
          [pending](const query::CallerAnswer& answer) {
            pending->Answer(answer);
          });
}

std::optional<query::Refused> CallerApi::FindRefusal(
    const std::string& request_id) {
  const auto lifecycle = blackboard_.lifecycle.Read();
  if (lifecycle->state != LifecycleState::kReady) {
    const bool is_stopping = lifecycle->state == LifecycleState::kStopping;
    return query::Refused{
        .request_id = request_id,
        .error = base::MakeError(
            is_stopping ? ErrorCode::kStopping : ErrorCode::kUnavailable,
            is_stopping ? Step::kStop : Step::kAdmit, "", lifecycle->reason),
        .retry_after = kRetryWhenNotReady,
        .kind = query::RefusalKind::kUnavailable};
  }
  // NOTE: concurrent requests may exceed the limit by the number of traffic
  // threads. The limit protects memory and needn't be exact.
  if (in_flight_->load() >= settings_.max_requests) {
    return query::Refused{
        .request_id = request_id,
        .error = base::MakeError(ErrorCode::kOverloaded, Step::kAdmit, "",
                                 "too many requests in flight on this VM"),
        .retry_after = kRetryWhenFull,
        .kind = query::RefusalKind::kOverload};
  }
  return std::nullopt;
}

http::Response CallerApi::RenderReadiness() const {
  const auto lifecycle = blackboard_.lifecycle.Read();
  http::Response response;
  if (lifecycle->state == LifecycleState::kReady) {
    response.body = R"({"ready":true})";
    return response;
  }
  response.status = http::kServiceUnavailable;
  response.body =
      R"({"ready":false,"reason":)" + base::JsonString(lifecycle->reason) + "}";
  return response;
}

}  // namespace medlarspread::caller_api
