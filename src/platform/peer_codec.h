// Parts of requests to all shards that one daemon hands to another, on the
// wire: the caller's request as the platform has it, the part's shards and the
// revision of the routes.

#ifndef MEDLARSPREAD_PLATFORM_PEER_CODEC_H_
#define MEDLARSPREAD_PLATFORM_PEER_CODEC_H_

#include <optional>
#include <string>
#include <variant>

#include "src/base/result.h"
#include "src/http1/message.h"
#include "src/query/forward_service.h"
#include "src/upstream/forward_client.h"

namespace medlarspread::platform {

// For the daemon that hands over.
upstream::ForwardCodec MakePeerCodec();

// A peer asks whether this daemon lives, and may say how many shards of a part
// that it handed over may be missing.
struct PeerProbe {
  std::string request_id;
  std::optional<int> most_missing;
};

using FromPeer = std::variant<PeerProbe, query::IncomingRequest>;

// For the daemon that takes over. Fails if the request can't be read.
base::Result<FromPeer> DecodeFromPeer(http1::Request request);

// The answer to a part that a peer handed over.
http1::Response EncodePartAnswer(query::ForwardedAnswer answer);

// `missing` is how many shards of the part are missing; absent if there is no
// such part in work.
http1::Response EncodeProbeAnswer(std::optional<int> missing);

}  // namespace medlarspread::platform

#endif  // MEDLARSPREAD_PLATFORM_PEER_CODEC_H_
