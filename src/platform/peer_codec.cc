// Encoding and decoding of requests between daemons and their answers.

#include "src/platform/peer_codec.h"

#include <algorithm>
#include <charconv>
#include <string>
#include <utility>
#include <vector>

#include "src/platform/caller_codec.h"
#include "src/platform/forwarded_message.h"
#include "src/platform/header_names.h"
#include "src/platform/leaf_proof.h"

namespace medlarspread::platform {

namespace {

namespace http = boost::beast::http;
using http1::Request;
using http1::Response;
using http1::ResponseMatch;
using http1::Status;
using upstream::ForwardReply;
using upstream::LeafOutcome;

constexpr int kHttpVersion = 11;

template <typename Integer>
std::optional<Integer> ParseInteger(boost::beast::string_view text) {
  Integer value = 0;
  const char* end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), end, value);
  if (text.empty() || parsed.ec != std::errc() || parsed.ptr != end) {
    return std::nullopt;
  }
  return value;
}

std::string Join(const std::vector<std::string>& names) {
  std::string text;
  for (const std::string& name : names) {
    text += (text.empty() ? "" : ",") + name;
  }
  return text;
}

// Splits the text at commas and spaces.
std::vector<std::string> Split(boost::beast::string_view text) {
  std::vector<std::string> words;
  std::string word;
  for (const char character : text) {
    if (character != ',' && character != ' ') {
      word += character;
    } else if (!word.empty()) {
      words.push_back(std::exchange(word, {}));
    }
  }
  if (!word.empty()) {
    words.push_back(std::move(word));
  }
  return words;
}

Request Encode(const blackboard::Upstream& /*peer*/,
               const upstream::ForwardCall& call) {
  Request request = MakeForwardedMessage(call);
  const upstream::Handover& handover = call.handover.value();
  if (handover.routes_revision > 0) {
    request.set(kRoutesRevision, std::to_string(handover.routes_revision));
    request.set(kPartShards, Join(handover.shards));
    if (handover.leaves_of_others > 0) {
      request.set(kLeavesOfOthers, std::to_string(handover.leaves_of_others));
    }
  } else {
    request.set(kRequestId, call.request_id);
  }
  if (handover.most_missing) {
    request.set(kMaxMissing, std::to_string(*handover.most_missing));
  }
  return request;
}

std::optional<std::vector<std::string>> DecodeProofs(const Response& response) {
  const auto text = response[kShardProofs];
  return ParseLeafProofs({text.data(), text.size()});
}

// Daemons answer one request at a time on a connection and send no late
// answers.
ResponseMatch Match(const upstream::ForwardCall& /*call*/,
                    const Response& response) {
  const bool has_one_of_each =
      response.count(kShardProofs) <= 1 && response.count(kMissingShards) <= 1;
  const bool has_valid_missing = response.count(kMissingShards) == 0 ||
                                 ParseInteger<int>(response[kMissingShards]);
  return has_one_of_each && has_valid_missing && DecodeProofs(response)
             ? ResponseMatch::kYes
             : ResponseMatch::kInvalid;
}

LeafOutcome OutcomeOf(Status status) {
  if (http::to_status_class(status) == http::status_class::successful) {
    return LeafOutcome::kAnswered;
  }
  const bool is_refused = status == Status::service_unavailable ||
                          status == Status::too_many_requests;
  return is_refused ? LeafOutcome::kShed : LeafOutcome::kFailed;
}

ForwardReply Decode(const blackboard::Upstream& peer, Response response) {
  ForwardReply reply;
  reply.outcome = OutcomeOf(response.result());
  reply.shard_proofs =
      DecodeProofs(response).value_or(std::vector<std::string>{});
  reply.missing_shards = ParseInteger<int>(response[kMissingShards]);
  reply.did_reach_leaves = response.count(kDidReachLeaves) > 0;
  if (reply.outcome != LeafOutcome::kAnswered) {
    const bool is_timeout = response.result() == Status::gateway_timeout;
    reply.error = base::MakeError(
        is_timeout ? base::ErrorCode::kTimeout : base::ErrorCode::kUnavailable,
        base::Step::kReadUpstream, peer.address,
        "the peer answered with status " +
            std::to_string(response.result_int()));
  }
  reply.message = std::move(response);
  return reply;
}

}  // namespace

upstream::ForwardCodec MakePeerCodec() {
  return {Encode, SetTimeLeft, Match, Decode, false};
}

base::Result<PeerMessage> DecodePeerMessage(Request request) {
  const auto revision = ParseInteger<std::int64_t>(request[kRoutesRevision]);
  if (!revision) {
    const auto id = request[kRequestId];
    return PeerMessage(PeerProbe{std::string(id.data(), id.size()),
                                 ParseInteger<int>(request[kMaxMissing])});
  }
  upstream::Handover handover{*revision, Split(request[kPartShards]), {}};
  handover.leaves_of_others =
      std::max(0, ParseInteger<int>(request[kLeavesOfOthers]).value_or(0));
  request.erase(kLeavesOfOthers);
  request.erase(kRoutesRevision);
  request.erase(kPartShards);
  auto incoming = DecodeRequest(std::move(request));
  if (!incoming.is_ok()) {
    return incoming.error();
  }
  incoming.value().handover = std::move(handover);
  return PeerMessage(std::move(incoming.value()));
}

Response EncodePartAnswer(query::ForwardedAnswer answer) {
  const auto* refused = std::get_if<query::Refused>(&answer);
  const bool did_reach_leaves = refused != nullptr && refused->did_reach_leaves;
  Response response = EncodeAnswer(std::move(answer));
  if (did_reach_leaves) {
    response.set(kDidReachLeaves, "1");
  }
  return response;
}

Response EncodeProbeAnswer(std::optional<int> missing) {
  Response response(Status::no_content, kHttpVersion);
  if (missing) {
    response.set(kMissingShards, std::to_string(*missing));
  }
  return response;
}

}  // namespace medlarspread::platform
