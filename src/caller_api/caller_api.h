// The HTTP interface for callers: POST /v1/query and GET /v1/ready. It checks
// requests, hands the good ones on, and renders the answers.

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
  // Requests in flight at once; more are refused.
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

  // The http::Handler of the callers' listener.
  void Handle(const http::Request& request, http::Responder respond);

  // Requests submitted and not yet answered.
  int in_flight() const { return in_flight_->load(); }

  // Requests that were malformed or of an unknown class, since the start.
  std::uint64_t invalid_requests() const { return invalid_requests_; }

 private:
  void HandleQuery(const http::Request& request,
                   const http::Responder& respond);
  http::Response RenderReadiness() const;
  // Why a valid request is not taken for now, or nothing.
  std::optional<query::Refused> FindRefusal(const std::string& request_id);

  const CallerApiSettings settings_;
  const blackboard::Blackboard& blackboard_;
  const query::SubmitRequest submit_;
  // Shared with answers that outlive this object.
  const std::shared_ptr<std::atomic<int>> in_flight_ =
      std::make_shared<std::atomic<int>>(0);
  std::atomic<std::uint64_t> invalid_requests_ = 0;
};

}  // namespace medlarspread::caller_api

#endif  // MEDLARSPREAD_CALLER_API_CALLER_API_H_
