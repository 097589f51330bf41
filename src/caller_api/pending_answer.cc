// Ensures that each request gets exactly one answer, and the right one.

#include "src/caller_api/pending_answer.h"

#include <utility>

#include "src/caller_api/answer_renderer.h"

namespace medlarspread::caller_api {

namespace {

using base::ErrorCode;
using base::Step;

const std::string& RequestIdOf(const query::CallerAnswer& answer) {
  return std::visit(
      [](const auto& kind) -> const std::string& { return kind.request_id; },
      answer);
}

}  // namespace

PendingAnswer::PendingAnswer(std::string request_id,
                             http::Responder respond,
                             std::shared_ptr<std::atomic<int>> in_flight)
    : request_id_(std::move(request_id)),
      respond_(std::move(respond)),
      in_flight_(std::move(in_flight)) {
  ++*in_flight_;
}

PendingAnswer::~PendingAnswer() {
  if (is_answered_) {
    return;
  }
  Answer(query::Unknown{
      request_id_,
      base::MakeError(ErrorCode::kInternal, Step::kMerge, "",
                      "the request was abandoned without an answer")});
}

void PendingAnswer::Answer(const query::CallerAnswer& answer) {
  if (is_answered_.exchange(true)) {
    return;
  }
  --*in_flight_;
  if (RequestIdOf(answer) == request_id_) {
    respond_(RenderAnswer(answer));
    return;
  }
  respond_(RenderAnswer(query::Unknown{
      request_id_, base::MakeError(ErrorCode::kMismatch, Step::kMerge, "",
                                   "the answer was for another request")}));
}

}  // namespace medlarspread::caller_api
