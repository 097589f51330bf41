// Encodes and decodes the frames of a peer link: a four-byte length in network
// byte order, then one wire::Envelope in Thrift's compact protocol.

#ifndef MEDLARSPREAD_PEER_CODEC_H_
#define MEDLARSPREAD_PEER_CODEC_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

#include "src/base/result.h"
#include "src/peer/message.h"

namespace medlarspread::peer {

// Size of the length field in front of each envelope.
constexpr std::size_t kFrameHeaderBytes = 4;
using FrameHeader = std::array<unsigned char, kFrameHeaderBytes>;

// A message together with the sender that its envelope names.
struct ReceivedMessage {
  Sender sender;
  Message message;
};

// Immutable; safe to use from any thread.
class Codec {
 public:
  // `self` is the sender in every encoded envelope. `max_frame_bytes` limits
  // the size of encoded and decoded envelopes.
  Codec(Sender self, std::size_t max_frame_bytes);

  // The whole frame, header included. Errors: kTooLarge.
  base::Result<std::string> Encode(Message message,
                                   const std::string& peer) const;

  // Decodes one envelope without its header. Errors: kMalformed if the bytes
  // are not an envelope, or if it has no sender or not exactly one message.
  base::Result<ReceivedMessage> Decode(std::string_view envelope,
                                       const std::string& peer) const;

  // Returns the length of the envelope that follows the header. Errors:
  // kTooLarge, and kMalformed if the length is 0.
  base::Result<std::size_t> DecodeHeader(const FrameHeader& header,
                                         const std::string& peer) const;

 private:
  const Sender self_;
  const std::size_t max_frame_bytes_;
};

}  // namespace medlarspread::peer

#endif  // MEDLARSPREAD_PEER_CODEC_H_
