// Encoding of requests to leaves and decoding of their answers.

#include "src/platform/leaf_codec.h"

#include <cstdlib>
#include <string>
#include <utility>

#include "src/platform/forwarded_message.h"
#include "src/platform/header_names.h"
#include "src/platform/leaf_proof.h"

namespace medlarspread::platform {

namespace {

namespace http = boost::beast::http;
using base::ErrorCode;
using base::Step;
using http1::Response;
using http1::ResponseMatch;
using http1::Status;
using upstream::ForwardReply;
using upstream::LeafOutcome;

http1::Request Encode(const blackboard::Upstream& leaf,
                      const upstream::ForwardCall& call) {
  http1::Request request = MakeForwardedMessage(call);
  request.set(kExpectedLeaf, leaf.id);
  return request;
}

// Whether the response has at most one proof, which is well-formed. An empty
// one counts as none.
bool HasValidProof(const Response& response) {
  const std::string proof(response[kLeafProof]);
  return response.count(kLeafProof) <= 1 &&
         (proof.empty() || IsLeafProof(proof));
}

ResponseMatch Match(const upstream::ForwardCall& call,
                    const Response& response) {
  if (response.count(kRequestId) > 1) {
    return ResponseMatch::kInvalid;
  }
  const auto field = response.find(kRequestId);
  if (field != response.end() && field->value() != call.request_id) {
    return ResponseMatch::kNo;
  }
  if (!HasValidProof(response)) {
    return ResponseMatch::kInvalid;
  }
  return field == response.end() ? ResponseMatch::kUnknown
                                 : ResponseMatch::kYes;
}

base::Duration DecodeRetryAfter(const Response& response) {
  const std::string text(response[kRetryAfter]);
  constexpr double kMaxSeconds = 60.0;
  constexpr double kMicrosecondsPerSecond = 1e6;
  const double seconds = std::strtod(text.c_str(), nullptr);
  if (!(seconds > 0.0)) {
    return {};
  }
  return base::Duration(static_cast<std::int64_t>(
      std::min(seconds, kMaxSeconds) * kMicrosecondsPerSecond));
}

// Statuses that tell a caller that its request has not run. They are passed on
// only if the leaf confirms it.
bool ImpliesNotRun(Status status) {
  return status == Status::too_many_requests ||
         status == Status::service_unavailable ||
         status == Status::request_timeout ||
         status == Status::misdirected_request;
}

LeafOutcome OutcomeOf(const Response& response, const std::string& proof) {
  if (response.result() == Status::misdirected_request) {
    return LeafOutcome::kReplaced;
  }
  if (response.find(kNotRun) != response.end()) {
    return LeafOutcome::kShed;
  }
  if (ImpliesNotRun(response.result())) {
    return LeafOutcome::kLost;
  }
  if (http::to_status_class(response.result()) !=
      http::status_class::successful) {
    return LeafOutcome::kFailed;
  }
  const bool is_encoded =
      response.find(http::field::content_encoding) != response.end();
  return proof.empty() || is_encoded ? LeafOutcome::kMismatch
                                     : LeafOutcome::kAnswered;
}

ForwardReply Decode(const blackboard::Upstream& leaf, Response response) {
  ForwardReply reply;
  reply.proof = std::string(response[kLeafProof]);
  reply.outcome = OutcomeOf(response, reply.proof);
  reply.retry_after = DecodeRetryAfter(response);
  if (reply.outcome != LeafOutcome::kAnswered) {
    const bool is_shed = reply.outcome == LeafOutcome::kShed;
    reply.error = base::MakeError(
        is_shed ? ErrorCode::kShed : ErrorCode::kMismatch, Step::kReadUpstream,
        leaf.address,
        std::string(upstream::LeafOutcomeName(reply.outcome)) + ", status " +
            std::to_string(response.result_int()));
  }
  reply.message = std::move(response);
  return reply;
}

}  // namespace

upstream::ForwardCodec MakeLeafCodec() {
  return {Encode, SetTimeLeft, Match, Decode, true};
}

}  // namespace medlarspread::platform
