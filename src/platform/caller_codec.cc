// Decoding of callers' requests and encoding of their answers.

#include "src/platform/caller_codec.h"

#include <charconv>
#include <cstdio>
#include <string>
#include <utility>

#include "src/base/overloaded.h"
#include "src/platform/header_names.h"

namespace medlarspread::platform {

namespace {

using http1::Response;
using http1::Status;
namespace http = boost::beast::http;
using query::IncomingRequest;

constexpr int kHttpVersion = 11;

std::optional<base::Duration> DecodeDeadline(const http1::Request& request) {
  const auto text = request[kDeadline];
  std::int64_t milliseconds = 0;
  const char* end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), end, milliseconds);
  if (parsed.ec != std::errc() || parsed.ptr != end || milliseconds < 0) {
    return std::nullopt;
  }
  return base::Milliseconds(milliseconds);
}

std::string SecondsText(base::Duration duration) {
  constexpr double kMicrosecondsPerSecond = 1e6;
  char text[32];
  const int size = std::snprintf(
      text, sizeof(text), "%.3f",
      static_cast<double>(duration.count()) / kMicrosecondsPerSecond);
  return {text, static_cast<std::size_t>(size)};
}

Response MakePlain(Status status) {
  Response response(status, kHttpVersion);
  response.prepare_payload();
  return response;
}

Response EncodeLeafResponse(query::LeafResponse passed) {
  Response response = std::move(passed.message);
  http1::RemoveHopByHopFields(response);
  response.version(kHttpVersion);
  // NOTE: the leaf's Content-Length is kept. This matters for HEAD, where the
  // response has a length and no body.
  if (response.find(http::field::content_length) == response.end()) {
    response.content_length(response.body().size());
  }
  return response;
}

Response EncodeMergedRecords(const query::MergedRecords& gathered) {
  Response response(Status::ok, kHttpVersion);
  std::string proofs;
  for (const std::string& proof : gathered.proofs) {
    proofs += (proofs.empty() ? "" : ", ") + proof;
  }
  response.set(kShardProofs, proofs);
  response.set(kMissingShards, std::to_string(gathered.missing));
  response.body() = gathered.records;
  response.prepare_payload();
  return response;
}

Response EncodeRefused(const query::Refused& refused) {
  Response response = MakePlain(refused.kind == query::RefusalKind::kOverload
                                    ? Status::too_many_requests
                                    : Status::service_unavailable);
  response.set(kRetryAfter, SecondsText(refused.retry_after));
  return response;
}

Response EncodeUnknown(const query::Unknown& unknown) {
  return MakePlain(unknown.error.code == base::ErrorCode::kTimeout
                       ? Status::gateway_timeout
                       : Status::bad_gateway);
}

}  // namespace

base::Result<IncomingRequest> DecodeRequest(http1::Request request) {
  IncomingRequest incoming;
  const auto request_id = request[kRequestId];
  const auto host = request[http::field::host];
  incoming.request_id.assign(request_id.data(), request_id.size());
  incoming.host.assign(host.data(), host.size());
  if (incoming.request_id.empty() || incoming.host.empty()) {
    return base::MakeError(base::ErrorCode::kInvalidArgument,
                           base::Step::kParse, "",
                           "the request identifier or host is missing");
  }
  incoming.deadline = DecodeDeadline(request);
  http1::RemoveHopByHopFields(request);
  request.erase(http::field::expect);
  incoming.message = std::make_shared<const http1::Request>(std::move(request));
  return incoming;
}

Response EncodeAnswer(query::ForwardedAnswer answer) {
  return std::visit(
      base::Overloaded{
          [](query::LeafResponse& passed) {
            return EncodeLeafResponse(std::move(passed));
          },
          [](query::MergedRecords& gathered) {
            return EncodeMergedRecords(gathered);
          },
          [](query::NoRoute&) { return MakePlain(Status::not_found); },
          [](query::Refused& refused) { return EncodeRefused(refused); },
          [](query::Unknown& unknown) { return EncodeUnknown(unknown); }},
      answer);
}

Response EncodeInvalid(const base::Error& error) {
  Response response(Status::bad_request, kHttpVersion);
  response.body() = error.detail;
  response.prepare_payload();
  return response;
}

}  // namespace medlarspread::platform
