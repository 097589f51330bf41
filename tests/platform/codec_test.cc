// Tests the encoding and decoding of callers' and leaves' messages.

#include <gtest/gtest.h>

#include "src/platform/caller_codec.h"
#include "src/platform/header_names.h"
#include "src/platform/leaf_codec.h"

namespace medlarspread::platform {
namespace {

namespace http = boost::beast::http;
using http1::Request;
using http1::Response;
using http1::Status;
using upstream::LeafOutcome;

Request MakeRequest() {
  Request request(http::verb::post, "/a%2f?x=1", 11);
  request.set(http::field::host, "h.example");
  request.set(kRequestId, "id-1");
  request.set(kDeadline, "750");
  request.set("X-Own", "kept");
  request.set(http::field::connection, "close");
  request.body() = "body";
  request.prepare_payload();
  return request;
}

TEST(CallerCodecTest, DecodesTheFieldsOfARequest) {
  const auto incoming = DecodeRequest(MakeRequest());
  ASSERT_TRUE(incoming.is_ok());
  EXPECT_EQ(incoming.value().request_id, "id-1");
  EXPECT_EQ(incoming.value().host, "h.example");
  EXPECT_EQ(incoming.value().deadline, base::Milliseconds(750));
  EXPECT_EQ((*incoming.value().message)["X-Own"], "kept");
  EXPECT_EQ(incoming.value().message->count(http::field::connection), 0U);
}

TEST(CallerCodecTest, AnInvalidDeadlineIsIgnored) {
  for (const char* text : {"", "-1", "12x", "99999999999999999999"}) {
    Request request = MakeRequest();
    request.set(kDeadline, text);
    EXPECT_FALSE(DecodeRequest(std::move(request)).value().deadline) << text;
  }
}

TEST(CallerCodecTest, RequestsNeedAnIdentifier) {
  Request request = MakeRequest();
  request.erase(kRequestId);
  EXPECT_FALSE(DecodeRequest(std::move(request)).is_ok());
}

TEST(CallerCodecTest, MergedRecordsNameProofsAndMissingShards) {
  const Response response =
      EncodeAnswer(query::MergedRecords{"records", {"p1", "p2"}, 3});
  EXPECT_EQ(response.result(), Status::ok);
  EXPECT_EQ(response[kShardProofs], "p1, p2");
  EXPECT_EQ(response[kMissingShards], "3");
  EXPECT_EQ(response.body(), "records");
}

TEST(CallerCodecTest, RefusalsHaveARetryDelay) {
  query::Refused refused;
  refused.retry_after = base::Milliseconds(50);
  const Response response = EncodeAnswer(refused);
  EXPECT_EQ(response.result(), Status::service_unavailable);
  EXPECT_EQ(response[kRetryAfter], "0.050");
}

TEST(CallerCodecTest, WhatMayHaveRunIsNeverARefusal) {
  query::Unknown unknown;
  unknown.error.code = base::ErrorCode::kTimeout;
  EXPECT_EQ(EncodeAnswer(unknown).result(), Status::gateway_timeout);
  unknown.error.code = base::ErrorCode::kConnectionLost;
  EXPECT_EQ(EncodeAnswer(unknown).result(), Status::bad_gateway);
}

TEST(CallerCodecTest, PassesALeafsAnswerOnUnchanged) {
  query::LeafResponse passed;
  passed.message.result(Status::internal_server_error);
  passed.message.set(kLeafProof, "p");
  passed.message.set(http::field::connection, "close");
  passed.message.body() = "bytes";
  const Response response = EncodeAnswer(std::move(passed));
  EXPECT_EQ(response.result(), Status::internal_server_error);
  EXPECT_EQ(response[kLeafProof], "p");
  EXPECT_EQ(response[http::field::content_length], "5");
  EXPECT_EQ(response.count(http::field::connection), 0U);
}

class LeafCodecTest : public testing::Test {
 protected:
  upstream::ForwardReply Decode(Response response) {
    return codec_.decode(leaf_, std::move(response));
  }

  static Response MakeAnswer(Status status) {
    Response response(status, 11);
    response.set(kLeafProof, "p");
    return response;
  }

  const upstream::ForwardCodec codec_ = MakeLeafCodec();
  blackboard::Upstream leaf_;
};

TEST_F(LeafCodecTest, RequestsNameTheLeafAndTheTimeLeft) {
  leaf_.name = "i-1@1796251705697";
  leaf_.id = "i-1";
  upstream::ForwardCall call;
  call.message = std::make_shared<const Request>(MakeRequest());
  call.time_left = base::Duration(700'900);
  const Request request = codec_.encode(leaf_, call);
  EXPECT_EQ(request.target(), "/a%2f?x=1");
  EXPECT_EQ(request[kExpectedLeaf], "i-1");
  EXPECT_EQ(request[kDeadline], "700");
  EXPECT_EQ(request[kRequestId], "id-1");
  EXPECT_EQ(request.body(), "body");
}

TEST_F(LeafCodecTest, AnswersAreMatchedByTheIdentifier) {
  upstream::ForwardCall call;
  call.request_id = "id-1";
  Response response = MakeAnswer(Status::ok);
  EXPECT_EQ(codec_.match(call, response), http1::ResponseMatch::kUnknown);
  response.set(kRequestId, "id-0");
  EXPECT_EQ(codec_.match(call, response), http1::ResponseMatch::kNo);
  response.set(kRequestId, "id-1");
  EXPECT_EQ(codec_.match(call, response), http1::ResponseMatch::kYes);
}

// Guards against an answer that is passed on with the proof of another one, or
// with a proof that holds what no leaf writes.
TEST_F(LeafCodecTest, ContradictoryAnswersAreInvalid) {
  upstream::ForwardCall call;
  call.request_id = "id-1";
  for (const char* proof : {"a b", "a,b", "3e1bHTTP/1.1 200 OK", "a\tb"}) {
    Response response(Status::ok, 11);
    response.set(kRequestId, "id-1");
    response.set(kLeafProof, proof);
    EXPECT_EQ(codec_.match(call, response), http1::ResponseMatch::kInvalid)
        << proof;
  }
  for (const char* name : {kRequestId, kLeafProof}) {
    Response response = MakeAnswer(Status::ok);
    response.set(kRequestId, "id-1");
    response.insert(name, "id-1");
    EXPECT_EQ(codec_.match(call, response), http1::ResponseMatch::kInvalid)
        << name;
  }
}

TEST_F(LeafCodecTest, SuccessNeedsAProofAndNoEncoding) {
  EXPECT_EQ(Decode(MakeAnswer(Status::ok)).outcome, LeafOutcome::kAnswered);
  EXPECT_EQ(Decode(Response(Status::ok, 11)).outcome, LeafOutcome::kMismatch);
  Response encoded = MakeAnswer(Status::ok);
  encoded.set(http::field::content_encoding, "gzip");
  EXPECT_EQ(Decode(std::move(encoded)).outcome, LeafOutcome::kMismatch);
}

TEST_F(LeafCodecTest, OnlyTheLeafsConfirmationMeansNotRun) {
  Response shed(Status::service_unavailable, 11);
  shed.set(kNotRun, "1");
  shed.set(kRetryAfter, "0.25");
  const auto reply = Decode(std::move(shed));
  EXPECT_EQ(reply.outcome, LeafOutcome::kShed);
  EXPECT_EQ(reply.retry_after, base::Milliseconds(250));
  EXPECT_EQ(Decode(Response(Status::misdirected_request, 11)).outcome,
            LeafOutcome::kReplaced);
  EXPECT_EQ(Decode(MakeAnswer(Status::service_unavailable)).outcome,
            LeafOutcome::kLost);
  EXPECT_EQ(Decode(MakeAnswer(Status::internal_server_error)).outcome,
            LeafOutcome::kFailed);
}

}  // namespace
}  // namespace medlarspread::platform
