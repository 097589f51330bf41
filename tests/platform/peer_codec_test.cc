// Tests that a daemon can decode what another one encodes.

#include "src/platform/peer_codec.h"

#include <gtest/gtest.h>

namespace medlarspread::platform {
namespace {

using base::Milliseconds;
using http1::Request;
using http1::Response;
using http1::Status;
using upstream::LeafOutcome;

class PeerCodecTest : public testing::Test {
 protected:
  PeerCodecTest() {
    Request request(boost::beast::http::verb::post, "/a/%2f?c=1", 11);
    request.set("Host", "h.example");
    request.set("Medlarspread-Request-Id", "id-1");
    request.set("X-Own", "kept");
    request.body() = "body";
    call_.request_id = "id-1";
    call_.message = std::make_shared<const Request>(std::move(request));
    call_.time_left = Milliseconds(250);
    call_.handover = upstream::Handover{7, {"s1", "s2"}, {}};
    peer_.address = "10.0.0.1:1";
  }

  Request Encode() const { return codec_.encode(peer_, call_); }

  upstream::ForwardReply Decode(Response response) const {
    return codec_.decode(peer_, std::move(response));
  }

  const upstream::ForwardCodec codec_ = MakePeerCodec();
  upstream::ForwardCall call_;
  blackboard::Upstream peer_;
};

TEST_F(PeerCodecTest, APartArrivesAsItWasHandedOver) {
  auto decoded = DecodePeerMessage(Encode());
  ASSERT_TRUE(decoded.is_ok());
  const auto* incoming = std::get_if<query::IncomingRequest>(&decoded.value());
  ASSERT_NE(incoming, nullptr);
  EXPECT_EQ(incoming->request_id, "id-1");
  EXPECT_EQ(incoming->host, "h.example");
  EXPECT_EQ(incoming->deadline, Milliseconds(250));
  ASSERT_TRUE(incoming->handover.has_value());
  EXPECT_EQ(incoming->handover->routes_revision, 7);
  EXPECT_EQ(incoming->handover->shards, (std::vector<std::string>{"s1", "s2"}));
}

TEST_F(PeerCodecTest, LeavesOfOthersArriveToo) {
  for (const int leaves : {0, 1}) {
    call_.handover->leaves_of_others = leaves;
    Request request = Encode();
    EXPECT_EQ(request.count("Medlarspread-Leaves-Left-Over"),
              static_cast<std::size_t>(leaves));
    auto decoded = DecodePeerMessage(std::move(request));
    const auto* incoming =
        std::get_if<query::IncomingRequest>(&decoded.value());
    ASSERT_NE(incoming, nullptr);
    EXPECT_EQ(incoming->handover->leaves_of_others, leaves);
    EXPECT_EQ(incoming->message->count("Medlarspread-Leaves-Left-Over"), 0U);
  }
}

TEST_F(PeerCodecTest, HandoverFieldsAreNotSentToLeaves) {
  auto decoded = DecodePeerMessage(Encode());
  ASSERT_TRUE(decoded.is_ok());
  const auto& message =
      *std::get<query::IncomingRequest>(decoded.value()).message;
  EXPECT_EQ(message.target(), "/a/%2f?c=1");
  EXPECT_EQ(message.body(), "body");
  EXPECT_EQ(message["X-Own"], "kept");
  EXPECT_EQ(message.find("Medlarspread-Routes-Revision"), message.end());
  EXPECT_EQ(message.find("Medlarspread-Part-Shards"), message.end());
}

TEST_F(PeerCodecTest, AProbeNamesTheRequestAndTheMissingLimit) {
  call_.message = std::make_shared<const Request>(
      boost::beast::http::verb::options, "*", 11);
  call_.handover = upstream::Handover{0, {}, 2};
  auto decoded = DecodePeerMessage(Encode());
  ASSERT_TRUE(decoded.is_ok());
  const auto* probe = std::get_if<PeerProbe>(&decoded.value());
  ASSERT_NE(probe, nullptr);
  EXPECT_EQ(probe->request_id, "id-1");
  EXPECT_EQ(probe->most_missing, 2);
}

TEST_F(PeerCodecTest, TheAnswerToAProbeHasTheMissingCount) {
  EXPECT_EQ(Decode(EncodeProbeAnswer(3)).missing_shards, 3);
  const auto reply = Decode(EncodeProbeAnswer(std::nullopt));
  EXPECT_EQ(reply.outcome, LeafOutcome::kAnswered);
  EXPECT_FALSE(reply.missing_shards.has_value());
}

TEST_F(PeerCodecTest, AnAnswerHoldsTheProofsOfItsShards) {
  Response response(Status::ok, 11);
  response.set("Medlarspread-Part-Stamps", "a.1, b.2,c.3");
  response.body() = "records";
  const auto reply = Decode(std::move(response));
  EXPECT_EQ(reply.outcome, LeafOutcome::kAnswered);
  EXPECT_EQ(reply.shard_proofs,
            (std::vector<std::string>{"a.1", "b.2", "c.3"}));
  EXPECT_EQ(reply.message.body(), "records");
}

// Guards against an answer made of two that names what no leaf has signed.
TEST_F(PeerCodecTest, ContradictoryAnswersAreInvalid) {
  for (const char* proofs : {"a.1, a.1", "a.1,,b.2", "a.1, b 2", "a.1,"}) {
    Response response(Status::ok, 11);
    response.set("Medlarspread-Part-Stamps", proofs);
    EXPECT_EQ(codec_.match(call_, response), http1::ResponseMatch::kInvalid)
        << proofs;
  }
  for (const char* name :
       {"Medlarspread-Part-Stamps", "Medlarspread-Missing-Parts"}) {
    Response response(Status::ok, 11);
    response.insert(name, "1");
    EXPECT_EQ(codec_.match(call_, response), http1::ResponseMatch::kYes);
    response.insert(name, "1");
    EXPECT_EQ(codec_.match(call_, response), http1::ResponseMatch::kInvalid);
  }
}

TEST_F(PeerCodecTest, ARefusalDidNotRunAndAFailureMayHave) {
  for (const Status status :
       {Status::service_unavailable, Status::too_many_requests}) {
    EXPECT_EQ(Decode(Response(status, 11)).outcome, LeafOutcome::kShed);
  }
  const auto lost = Decode(Response(Status::bad_gateway, 11));
  EXPECT_EQ(lost.outcome, LeafOutcome::kFailed);
  EXPECT_TRUE(upstream::MayHaveRun(lost.outcome));
  EXPECT_EQ(Decode(Response(Status::gateway_timeout, 11)).error.code,
            base::ErrorCode::kTimeout);
}

TEST_F(PeerCodecTest, ARefusalSaysWhetherLeavesGotThePart) {
  for (const bool did_reach_leaves : {false, true}) {
    query::Refused refused;
    refused.did_reach_leaves = did_reach_leaves;
    const auto reply = Decode(EncodePartAnswer(refused));
    EXPECT_EQ(reply.outcome, LeafOutcome::kShed);
    EXPECT_EQ(reply.did_reach_leaves, did_reach_leaves);
  }
}

TEST_F(PeerCodecTest, APartWithoutARequestIsRefused) {
  Request request(boost::beast::http::verb::get, "/a", 11);
  request.set("Medlarspread-Routes-Revision", "7");
  EXPECT_FALSE(DecodePeerMessage(std::move(request)).is_ok());
}

}  // namespace
}  // namespace medlarspread::platform
