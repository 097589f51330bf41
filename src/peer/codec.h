// Turns messages into frames and back: four bytes of length in network order,
// then one wire::Envelope in Thrift's compact protocol.

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

// Bytes of length in front of each envelope.
constexpr std::size_t kFrameHeaderBytes = 4;
using FrameHeader = std::array<unsigned char, kFrameHeaderBytes>;

// A message together with the daemon that its envelope names.
struct ReceivedMessage {
  Sender sender;
  Message message;
};

// Stateless but for the settings; safe to use from any thread.
class Codec {
 public:
  // `self` is named in every envelope that this codec writes. No envelope may
  // be larger than `max_frame_bytes`, in either direction.
  Codec(Sender self, std::size_t max_frame_bytes);

  // The whole frame, header included. Errors: kTooLarge.
  base::Result<std::string> Encode(Message message,
                                   const std::string& peer) const;

  // Reads one envelope without its header. Errors: kMalformed if it is no
  // envelope, names no sender, or carries no message or more than one.
  base::Result<ReceivedMessage> Decode(std::string_view envelope,
                                       const std::string& peer) const;

  // The length that a header announces. Errors: kTooLarge, and kMalformed for
  // an empty frame.
  base::Result<std::size_t> DecodeHeader(const FrameHeader& header,
                                         const std::string& peer) const;

 private:
  const Sender self_;
  const std::size_t max_frame_bytes_;
};

}  // namespace medlarspread::peer

#endif  // MEDLARSPREAD_PEER_CODEC_H_
