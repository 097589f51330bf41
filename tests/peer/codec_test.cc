// Every message kind survives a round trip; malformed input is rejected.

#include "src/peer/codec.h"

#include <gtest/gtest.h>

namespace medlarspread::peer {
namespace {

constexpr std::size_t kMaxFrameBytes = 2000;
constexpr const char* kPeer = "vm-b";

class CodecTest : public testing::Test {
 protected:
  std::string Envelope(Message message) const {
    const auto frame = codec_.Encode(std::move(message), kPeer);
    EXPECT_TRUE(frame.is_ok());
    return frame.value().substr(kFrameHeaderBytes);
  }

  Codec codec_{{"vm-a", 7}, kMaxFrameBytes};
};

template <typename T>
void ExpectRoundTrip(const Codec& codec, const T& message) {
  const auto frame = codec.Encode(message, kPeer);
  ASSERT_TRUE(frame.is_ok());
  FrameHeader header{};
  std::copy_n(frame.value().begin(), kFrameHeaderBytes, header.begin());
  const auto length = codec.DecodeHeader(header, kPeer);
  ASSERT_TRUE(length.is_ok());
  ASSERT_EQ(length.value(), frame.value().size() - kFrameHeaderBytes);
  const auto read =
      codec.Decode(frame.value().substr(kFrameHeaderBytes), kPeer);
  ASSERT_TRUE(read.is_ok()) << read.error().ToString();
  EXPECT_EQ(read.value().sender.name, "vm-a");
  EXPECT_EQ(read.value().sender.incarnation, 7);
  ASSERT_TRUE(std::holds_alternative<T>(read.value().message));
  EXPECT_EQ(std::get<T>(read.value().message), message);
}

TEST_F(CodecTest, EveryKindRoundTrips) {
  wire::Heartbeat heartbeat;
  heartbeat.others.resize(3);
  heartbeat.others[1].name = "vm-c";
  heartbeat.draining_upstreams["leaf-1"] = 20;
  ExpectRoundTrip(codec_, heartbeat);
  wire::SubQuery query;
  query.query = std::string("{\"a\":\0}", 7);
  query.ranges.resize(2);
  ExpectRoundTrip(codec_, query);
  wire::ShardReply reply;
  reply.items = "[1,2]";
  ExpectRoundTrip(codec_, reply);
  ExpectRoundTrip(codec_, wire::CancelSubQuery());
  ExpectRoundTrip(codec_, wire::TargetsRequest());
  ExpectRoundTrip(codec_, wire::TargetsBody());
  ExpectRoundTrip(codec_, wire::ClaimRequest());
  ExpectRoundTrip(codec_, wire::ClaimReply());
}

TEST_F(CodecTest, EveryTruncationIsRefused) {
  wire::Heartbeat heartbeat;
  heartbeat.others.resize(2);
  const std::string envelope = Envelope(heartbeat);
  for (std::size_t length = 0; length < envelope.size(); ++length) {
    const auto read = codec_.Decode(envelope.substr(0, length), kPeer);
    ASSERT_FALSE(read.is_ok()) << "at " << length;
    EXPECT_EQ(read.error().code, base::ErrorCode::kMalformed);
    EXPECT_EQ(read.error().step, base::Step::kPeerLink);
    EXPECT_EQ(read.error().peer, kPeer);
  }
}

TEST_F(CodecTest, RefusesAnEnvelopeWithoutASender) {
  const Codec nameless({"", 1}, kMaxFrameBytes);
  const auto frame = nameless.Encode(wire::ClaimReply(), kPeer);
  ASSERT_TRUE(frame.is_ok());
  const auto read =
      codec_.Decode(frame.value().substr(kFrameHeaderBytes), kPeer);
  ASSERT_FALSE(read.is_ok());
  EXPECT_EQ(read.error().code, base::ErrorCode::kMalformed);
}

// An encoded struct ends with a stop byte. Dropping the envelope's stop byte
// and appending a second message field makes an envelope with two messages.
TEST_F(CodecTest, RefusesTwoMessagesInOneEnvelope) {
  std::string envelope = Envelope(wire::ClaimRequest());
  envelope.pop_back();
  // Field 17 (claim_reply), one above 16, of type struct (12), empty; stop.
  envelope += std::string("\x1C\x00\x00", 3);
  const auto read = codec_.Decode(envelope, kPeer);
  ASSERT_FALSE(read.is_ok());
  EXPECT_EQ(read.error().detail, "envelope without exactly one message");
}

TEST_F(CodecTest, ListLengthThatLiesIsRefusedBeforeItIsAllocated) {
  wire::Heartbeat heartbeat;
  std::string envelope = Envelope(heartbeat);
  // The empty list `others` is field 2 of type list: 0x19 0x0C. Changes its
  // length to 2^31 - 1.
  const auto list = envelope.find("\x19\x0C");
  ASSERT_NE(list, std::string::npos);
  envelope.replace(list, 2, "\x19\xFC\xFF\xFF\xFF\xFF\x07");
  EXPECT_FALSE(codec_.Decode(envelope, kPeer).is_ok());
}

TEST_F(CodecTest, BoundsBothDirections) {
  wire::TargetsBody body;
  body.body = std::string(kMaxFrameBytes, 'x');
  const auto frame = codec_.Encode(body, kPeer);
  ASSERT_FALSE(frame.is_ok());
  EXPECT_EQ(frame.error().code, base::ErrorCode::kTooLarge);

  const auto too_large = codec_.DecodeHeader({0, 0, 0x07, 0xD1}, kPeer);
  ASSERT_FALSE(too_large.is_ok());
  EXPECT_EQ(too_large.error().code, base::ErrorCode::kTooLarge);
  EXPECT_TRUE(codec_.DecodeHeader({0, 0, 0x07, 0xD0}, kPeer).is_ok());
  EXPECT_FALSE(codec_.DecodeHeader({0, 0, 0, 0}, kPeer).is_ok());
}

}  // namespace
}  // namespace medlarspread::peer
