// Encoding of requests to a leaf and decoding of its replies.

#include "src/upstream/leaf_message.h"

#include <algorithm>
#include <limits>
#include <utility>

#include <cpprest/json.h>

#include "src/base/name_table.h"
#include "src/store/json_fields.h"
#include "src/upstream/reply_json.h"

namespace medlarspread::upstream {

namespace {

using base::ErrorCode;
using base::Step;
using blackboard::Holding;
using blackboard::UpstreamState;
using store::FindArray;
using store::HasField;
using store::ReadInteger;
using store::ReadString;
using web::json::value;

// Messages with more holdings than this are rejected.
constexpr std::size_t kMaxHoldings = 4096;
// Larger numbers of slots or connections are rejected.
constexpr std::int64_t kMaxCapacity = 100'000;
// Upper limit of the retry delay that a leaf may request.
constexpr std::int64_t kMaxRetryAfterMilliseconds = 60'000;

constexpr base::NameTable<UpstreamState, 3> kStateNames{{{
    {UpstreamState::kServing, "serving"},
    {UpstreamState::kCold, "cold"},
    {UpstreamState::kDraining, "draining"},
}}};

constexpr base::NameTable<LeafOutcome, 3> kRefusalNames{{{
    {LeafOutcome::kShed, "shed"},
    {LeafOutcome::kDraining, "draining"},
    {LeafOutcome::kCold, "cold"},
}}};

ErrorCode CodeOfRefusal(LeafOutcome outcome) {
  switch (outcome) {
    case LeafOutcome::kDraining:
      return ErrorCode::kDraining;
    case LeafOutcome::kCold:
      return ErrorCode::kCold;
    case LeafOutcome::kWrongSnapshot:
      return ErrorCode::kWrongSnapshot;
    default:
      return ErrorCode::kShed;
  }
}

LeafReply Fail(LeafOutcome outcome,
               ErrorCode code,
               const std::string& peer,
               std::string detail) {
  LeafReply reply;
  reply.outcome = outcome;
  reply.error =
      base::MakeError(code, Step::kReadUpstream, peer, std::move(detail));
  return reply;
}

LeafReply FailMismatch(const std::string& peer, std::string detail) {
  return Fail(LeafOutcome::kMismatch, ErrorCode::kMismatch, peer,
              std::move(detail));
}

std::optional<UpstreamState> ReadState(const value& body) {
  const auto name = ReadString(body, "state");
  return name ? kStateNames.ValueOf(*name) : std::nullopt;
}

std::optional<Holding> ReadHolding(const value& row) {
  const auto index_version = ReadInteger(row, "index_version");
  const auto layout_version = ReadInteger(row, "layout_version");
  const auto low = ReadInteger(row, "low");
  const auto high = ReadInteger(row, "high");
  if (!index_version || !layout_version || !low || !high || *low < 0 ||
      *low >= *high || *high > blackboard::kKeySpace) {
    return std::nullopt;
  }
  return Holding{
      {*index_version, *layout_version},
      {static_cast<std::int32_t>(*low), static_cast<std::int32_t>(*high)}};
}

// Sorted. Absent if any row is invalid, since a partial list would look as if
// the leaf had dropped the rest.
std::optional<std::vector<Holding>> ReadHoldings(const value& body) {
  const value* rows = FindArray(body, "holdings");
  if (rows == nullptr || rows->as_array().size() > kMaxHoldings) {
    return std::nullopt;
  }
  std::vector<Holding> holdings;
  for (const value& row : rows->as_array()) {
    const auto holding = ReadHolding(row);
    if (!holding) {
      return std::nullopt;
    }
    holdings.push_back(*holding);
  }
  std::sort(holdings.begin(), holdings.end());
  return holdings;
}

// The name of the first field of `body` that does not match `request`, or null
// if all match.
const char* FindMismatch(const LeafRequest& request, const value& body) {
  if (ReadString(body, "attempt_id") != request.attempt_id) {
    return "attempt_id";
  }
  if (ReadString(body, "request_id") != request.request_id) {
    return "request_id";
  }
  if (ReadString(body, "collection") != request.collection) {
    return "collection";
  }
  if (ReadInteger(body, "index_version") != request.snapshot.index_version) {
    return "index_version";
  }
  if (ReadInteger(body, "layout_version") != request.snapshot.layout_version) {
    return "layout_version";
  }
  if (ReadInteger(body, "low") != request.range.low) {
    return "low";
  }
  if (ReadInteger(body, "high") != request.range.high) {
    return "high";
  }
  const value* items = FindArray(body, "items");
  if (items == nullptr) {
    return "items";
  }
  const auto count = ReadInteger(body, "count");
  if (!count || *count < 0 ||
      static_cast<std::size_t>(*count) != items->as_array().size()) {
    return "count";
  }
  return nullptr;
}

LeafReply DecodeAnswer(const LeafRequest& request,
                       const std::string& peer,
                       const value& body) {
  if (const char* field = FindMismatch(request, body)) {
    return FailMismatch(peer,
                        std::string("the answer has a different ") + field);
  }
  LeafReply reply;
  reply.outcome = LeafOutcome::kAnswered;
  reply.items = FindArray(body, "items")->serialize();
  const auto service_us = ReadInteger(body, "service_us").value_or(0);
  reply.service_time = base::Duration(std::max<std::int64_t>(0, service_us));
  return reply;
}

// Decodes a 409 or 503. Without `"ran":false` the request may have run.
LeafReply DecodeRefusal(const LeafRequest& request,
                        const std::string& peer,
                        int status,
                        const value& body) {
  const std::string status_text = std::to_string(status);
  if (ReadBoolean(body, "ran") != false) {
    return FailMismatch(peer, status_text + " without \"ran\":false");
  }
  // NOTE: a refusal need not contain an attempt_id, but one with a different
  // attempt_id is for another request.
  if (HasField(body, "attempt_id") &&
      ReadString(body, "attempt_id") != request.attempt_id) {
    return FailMismatch(peer, status_text + " for another attempt_id");
  }
  const std::string name = ReadString(body, "error").value_or("");
  if (status == http::kConflict && name == "wrong_snapshot") {
    LeafReply reply = Fail(LeafOutcome::kWrongSnapshot,
                           ErrorCode::kWrongSnapshot, peer, "not run");
    reply.holdings = ReadHoldings(body).value_or(std::vector<Holding>());
    return reply;
  }
  const auto outcome = status == http::kServiceUnavailable
                           ? kRefusalNames.ValueOf(name)
                           : std::nullopt;
  if (!outcome) {
    return FailMismatch(peer, status_text + " with an unknown error name");
  }
  LeafReply reply = Fail(*outcome, CodeOfRefusal(*outcome), peer, "not run");
  const auto retry_after = ReadInteger(body, "retry_after_ms").value_or(0);
  reply.retry_after = base::Milliseconds(
      std::clamp<std::int64_t>(retry_after, 0, kMaxRetryAfterMilliseconds));
  return reply;
}

LeafReply DecodeBody(const LeafRequest& request,
                     const std::string& peer,
                     int status,
                     const value& body) {
  switch (status) {
    case http::kOk:
      return DecodeAnswer(request, peer, body);
    case http::kConflict:
    case http::kServiceUnavailable:
      return DecodeRefusal(request, peer, status, body);
    case http::kGatewayTimeout:
      return Fail(LeafOutcome::kTimeout, ErrorCode::kTimeout, peer,
                  "the leaf aborted the request at its deadline");
    case http::kBadRequest:
      return Fail(LeafOutcome::kMismatch, ErrorCode::kInvalidArgument, peer,
                  "the leaf rejected a field as invalid");
    default:
      return FailMismatch(peer, "unexpected status " + std::to_string(status));
  }
}

// Classifies an exchange that ended without a valid response.
LeafReply DecodeFailure(const base::Error& error) {
  LeafReply reply;
  reply.error = error;
  if (error.code == ErrorCode::kUnreachable) {
    reply.outcome = LeafOutcome::kUnreachable;
  } else if (error.code == ErrorCode::kTimeout) {
    reply.outcome = LeafOutcome::kTimeout;
  } else if (error.code == ErrorCode::kTooLarge) {
    reply.outcome = LeafOutcome::kMismatch;
  } else {
    reply.outcome = LeafOutcome::kLost;
  }
  return reply;
}

// The state that a refusal implies if the body doesn't state one.
std::optional<UpstreamState> StateOfOutcome(LeafOutcome outcome) {
  switch (outcome) {
    case LeafOutcome::kDraining:
      return UpstreamState::kDraining;
    case LeafOutcome::kCold:
      return UpstreamState::kCold;
    default:
      return std::nullopt;
  }
}

}  // namespace

http::Request EncodeQuery(const LeafRequest& request) {
  const auto deadline_ms = std::max<std::int64_t>(
      1,
      static_cast<std::int64_t>(base::ToMilliseconds(request.deadline_left)));
  http::Request message;
  message.method = "POST";
  message.path = "/v1/query";
  message.is_sent_once = request.is_at_most_once;
  std::string& body = message.body;
  body.reserve(request.query.size() + 512);
  body += R"({"attempt_id":)" + QuoteJson(request.attempt_id);
  body += R"(,"request_id":)" + QuoteJson(request.request_id);
  body += R"(,"collection":)" + QuoteJson(request.collection);
  body += R"(,"class":)" + QuoteJson(request.class_name);
  body +=
      R"(,"index_version":)" + std::to_string(request.snapshot.index_version);
  body +=
      R"(,"layout_version":)" + std::to_string(request.snapshot.layout_version);
  body += R"(,"low":)" + std::to_string(request.range.low);
  body += R"(,"high":)" + std::to_string(request.range.high);
  body += R"(,"deadline_ms":)" + std::to_string(deadline_ms);
  body += R"(,"at_most_once":)";
  body += request.is_at_most_once ? "true" : "false";
  body += R"(,"query":)";
  body += request.query.empty() ? "null" : request.query;
  body += "}";
  return message;
}

http::Request EncodeCancel(const std::string& attempt_id) {
  http::Request message;
  message.method = "POST";
  message.path = "/v1/cancel";
  message.body = R"({"attempt_id":)" + QuoteJson(attempt_id) + "}";
  return message;
}

LeafReply DecodeReply(const LeafRequest& request,
                      const std::string& peer,
                      const base::Result<http::Response>& result) {
  if (!result.is_ok()) {
    return DecodeFailure(result.error());
  }
  const http::Response& response = result.value();
  const auto body = ParseReply(response.body);
  if (!body) {
    return FailMismatch(peer, "status " + std::to_string(response.status) +
                                  " with a body that is not a JSON object");
  }
  LeafReply reply = DecodeBody(request, peer, response.status, *body);
  if (reply.outcome == LeafOutcome::kMismatch) {
    // A reply to another request is no evidence of the leaf's state either.
    return reply;
  }
  reply.state = StateOfOutcome(reply.outcome);
  if (!reply.state) {
    reply.state = ReadState(*body);
  }
  return reply;
}

base::Result<LeafHealth> DecodeHealth(
    const std::string& peer,
    const base::Result<http::Response>& result) {
  if (!result.is_ok()) {
    return result.error();
  }
  const auto fail = [&peer](const char* detail) {
    return base::MakeError(ErrorCode::kMalformed, Step::kReadUpstream, peer,
                           detail);
  };
  const auto body = ParseReply(result.value().body);
  if (result.value().status != http::kOk || !body) {
    return fail("health is not a 200 with a JSON object");
  }
  const auto state = ReadState(*body);
  auto holdings = ReadHoldings(*body);
  const auto slots = ReadInteger(*body, "slots");
  const auto connections = ReadInteger(*body, "connections");
  if (!state || !holdings) {
    return fail("health lacks a valid state or holdings");
  }
  if (!slots || *slots < 1 || *slots > kMaxCapacity || !connections ||
      *connections < 1 || *connections > kMaxCapacity) {
    return fail("health lacks valid slots or connections");
  }
  return LeafHealth{ReadString(*body, "name"),
                    ReadString(*body, "collection"),
                    *state,
                    static_cast<int>(*slots),
                    static_cast<int>(*connections),
                    std::move(*holdings)};
}

}  // namespace medlarspread::upstream
