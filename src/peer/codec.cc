// Uses Thrift's compact protocol on memory buffers.

#include "src/peer/codec.h"

#include <exception>
#include <memory>
#include <optional>
#include <utility>

#include <thrift/TConfiguration.h>
#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

namespace medlarspread::peer {

namespace {

using apache::thrift::TConfiguration;
using apache::thrift::protocol::TCompactProtocolT;
using apache::thrift::transport::TMemoryBuffer;
using base::ErrorCode;
using base::Step;

constexpr int kBitsPerByte = 8;

// Visitor that moves a Message into the matching field of the envelope.
struct EnvelopeFiller {
  wire::Envelope& envelope;

  void operator()(wire::Heartbeat& message) {
    envelope.heartbeat = std::move(message);
    envelope.__isset.heartbeat = true;
  }
  void operator()(wire::SubQuery& message) {
    envelope.sub_query = std::move(message);
    envelope.__isset.sub_query = true;
  }
  void operator()(wire::ShardReply& message) {
    envelope.shard_reply = std::move(message);
    envelope.__isset.shard_reply = true;
  }
  void operator()(wire::CancelSubQuery& message) {
    envelope.cancel_sub_query = std::move(message);
    envelope.__isset.cancel_sub_query = true;
  }
  void operator()(wire::TargetsRequest& message) {
    envelope.targets_request = std::move(message);
    envelope.__isset.targets_request = true;
  }
  void operator()(wire::TargetsBody& message) {
    envelope.targets_body = std::move(message);
    envelope.__isset.targets_body = true;
  }
  void operator()(wire::ClaimRequest& message) {
    envelope.claim_request = std::move(message);
    envelope.__isset.claim_request = true;
  }
  void operator()(wire::ClaimReply& message) {
    envelope.claim_reply = std::move(message);
    envelope.__isset.claim_reply = true;
  }
};

// Extracts the message of an envelope and counts how many are set.
class MessageExtractor {
 public:
  template <typename T>
  void Add(bool is_set, T& message) {
    if (is_set) {
      ++count_;
      message_ = std::move(message);
    }
  }

  std::optional<Message> Take() {
    if (count_ != 1) {
      return std::nullopt;
    }
    return std::move(message_);
  }

 private:
  int count_ = 0;
  Message message_;
};

std::optional<Message> TakeMessage(wire::Envelope& envelope) {
  MessageExtractor extractor;
  const auto& is_set = envelope.__isset;
  extractor.Add(is_set.heartbeat, envelope.heartbeat);
  extractor.Add(is_set.sub_query, envelope.sub_query);
  extractor.Add(is_set.shard_reply, envelope.shard_reply);
  extractor.Add(is_set.cancel_sub_query, envelope.cancel_sub_query);
  extractor.Add(is_set.targets_request, envelope.targets_request);
  extractor.Add(is_set.targets_body, envelope.targets_body);
  extractor.Add(is_set.claim_request, envelope.claim_request);
  extractor.Add(is_set.claim_reply, envelope.claim_reply);
  return extractor.Take();
}

void AppendHeader(std::size_t length, std::string& frame) {
  for (int byte = static_cast<int>(kFrameHeaderBytes) - 1; byte >= 0; --byte) {
    frame.push_back(static_cast<char>(length >> (byte * kBitsPerByte)));
  }
}

// Throws Thrift's exceptions on malformed input.
wire::Envelope ReadEnvelope(std::string_view bytes) {
  // A container or string can't have more elements than the envelope has bytes.
  // With this limit a forged length is rejected before memory is allocated for
  // it.
  const auto limit = static_cast<int>(bytes.size());
  auto buffer = std::make_shared<TMemoryBuffer>(
      // NOTE: Thrift's constructor takes a non-const pointer, but a buffer with
      // OBSERVE never writes to it.
      reinterpret_cast<std::uint8_t*>(const_cast<char*>(bytes.data())),
      static_cast<std::uint32_t>(bytes.size()), TMemoryBuffer::OBSERVE,
      std::make_shared<TConfiguration>(limit, limit));
  TCompactProtocolT<TMemoryBuffer> protocol(buffer, limit, limit);
  wire::Envelope envelope;
  envelope.read(&protocol);
  return envelope;
}

}  // namespace

Codec::Codec(Sender self, std::size_t max_frame_bytes)
    : self_(std::move(self)), max_frame_bytes_(max_frame_bytes) {}

base::Result<std::string> Codec::Encode(Message message,
                                        const std::string& peer) const {
  wire::Envelope envelope;
  envelope.sender = self_.name;
  envelope.sender_incarnation = self_.incarnation;
  std::visit(EnvelopeFiller{envelope}, message);
  auto buffer = std::make_shared<TMemoryBuffer>();
  TCompactProtocolT<TMemoryBuffer> protocol(buffer);
  envelope.write(&protocol);
  std::uint8_t* bytes = nullptr;
  std::uint32_t length = 0;
  buffer->getBuffer(&bytes, &length);
  if (length > max_frame_bytes_) {
    return base::MakeError(
        ErrorCode::kTooLarge, Step::kPeerLink, peer,
        "outgoing message of " + std::to_string(length) + " bytes");
  }
  std::string frame;
  frame.reserve(kFrameHeaderBytes + length);
  AppendHeader(length, frame);
  frame.append(reinterpret_cast<const char*>(bytes), length);
  return frame;
}

base::Result<ReceivedMessage> Codec::Decode(std::string_view envelope,
                                            const std::string& peer) const {
  const auto malformed = [&peer](const std::string& detail) {
    return base::MakeError(ErrorCode::kMalformed, Step::kPeerLink, peer,
                           detail);
  };
  try {
    wire::Envelope read = ReadEnvelope(envelope);
    std::optional<Message> message = TakeMessage(read);
    if (read.sender.empty()) {
      return malformed("envelope without a sender");
    }
    if (!message) {
      return malformed("envelope without exactly one message");
    }
    return ReceivedMessage{{read.sender, read.sender_incarnation},
                           std::move(*message)};
  } catch (const std::exception& failure) {
    return malformed(failure.what());
  }
}

base::Result<std::size_t> Codec::DecodeHeader(const FrameHeader& header,
                                              const std::string& peer) const {
  std::size_t length = 0;
  for (const unsigned char byte : header) {
    length = (length << kBitsPerByte) | byte;
  }
  if (length == 0) {
    return base::MakeError(ErrorCode::kMalformed, Step::kPeerLink, peer,
                           "empty frame");
  }
  if (length > max_frame_bytes_) {
    return base::MakeError(
        ErrorCode::kTooLarge, Step::kPeerLink, peer,
        "incoming frame of " + std::to_string(length) + " bytes");
  }
  return length;
}

}  // namespace medlarspread::peer
