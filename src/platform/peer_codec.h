// The wire format of parts of all-shard requests that one daemon hands over to
// another: the caller's request, the part's shards and the routes revision.

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

// For the daemon that hands over a part.
upstream::ForwardCodec MakePeerCodec();

// A peer's check whether this daemon is alive. It may also set how many shards
// of a part that it handed over may be missing.
struct PeerProbe {
  std::string request_id;
  std::optional<int> most_missing;
};

using PeerMessage = std::variant<PeerProbe, query::IncomingRequest>;

// For the daemon that takes over a part. Fails if the request is invalid.
base::Result<PeerMessage> DecodePeerMessage(http1::Request request);

// The answer to a part that a peer handed over.
http1::Response EncodePartAnswer(query::ForwardedAnswer answer);

// `missing` is the number of shards of the part that are still missing; absent
// if this daemon is not working on such a part.
http1::Response EncodeProbeAnswer(std::optional<int> missing);

}  // namespace medlarspread::platform

#endif  // MEDLARSPREAD_PLATFORM_PEER_CODEC_H_
