// Requests to all shards that one daemon hands to another, on the wire: the
// caller's request as the platform has it, and the revision of the routes.

#ifndef MEDLARSPREAD_PLATFORM_PEER_CODEC_H_
#define MEDLARSPREAD_PLATFORM_PEER_CODEC_H_

#include <variant>

#include "src/base/result.h"
#include "src/http1/message.h"
#include "src/query/forward_service.h"
#include "src/upstream/forward_client.h"

namespace medlarspread::platform {

// For the daemon that hands over.
upstream::ForwardCodec MakePeerCodec();

// A peer asks whether this daemon lives.
struct PeerProbe {};

// For the daemon that takes over. Fails if the request can't be read.
base::Result<std::variant<PeerProbe, query::IncomingRequest>> DecodeFromPeer(
    http1::Request request);

http1::Response EncodeProbeAnswer();

}  // namespace medlarspread::platform

#endif  // MEDLARSPREAD_PLATFORM_PEER_CODEC_H_
