// The HTTP interface for callers: POST /v1/query and GET /v1/ready. It
// validates requests, submits the valid ones and renders the answers.

#ifndef MEDLARSPREAD_CALLER_API_CALLER_API_H_
#define MEDLARSPREAD_CALLER_API_CALLER_API_H_

#include <atomic>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>

#include "src/blackboard/blackboard.h"
#include "src/http/listener.h"
#include "src/query/caller_answer.h"

namespace medlarspread::caller_api {

struct CallerApiSettings {
  // Limit on requests in flight; further ones are refused.
  int max_requests = 2000;
};

// Safe to use from any traffic thread.
class CallerApi {
 public:
  // Reads the targets and the lifecycle from `blackboard`, which must outlive
  // this object. A request reaches `submit` only if it is valid, its class has
  // targets, and this daemon is ready.
  CallerApi(CallerApiSettings settings,
            const blackboard::Blackboard& blackboard,
            query::SubmitRequest submit);

  // The http::Handler for the listener for callers.
  void Handle(const http::Request& request, http::Responder respond);

  // Requests submitted and not yet answered.
  int in_flight() const { return in_flight_->load(); }

  // Malformed requests and requests of an unknown class since the start.
  std::uint64_t invalid_requests() const { return invalid_requests_; }

 private:
  void HandleQuery(const http::Request& request,
                   const http::Responder& respond);
  http::Response RenderReadiness() const;
  // The refusal if this daemon can't accept a valid request now, else nullopt.
  std::optional<query::Refused> FindRefusal(const std::string& request_id);

  const CallerApiSettings settings_;
  const blackboard::Blackboard& blackboard_;
  const query::SubmitRequest submit_;
  // Shared with pending answers, which may outlive this object.
  const std::shared_ptr<std::atomic<int>> in_flight_ =
      std::make_shared<std::atomic<int>>(0);
  std::atomic<std::uint64_t> invalid_requests_ = 0;
};

}  // namespace medlarspread::caller_api

#endif  // MEDLARSPREAD_CALLER_API_CALLER_API_H_
