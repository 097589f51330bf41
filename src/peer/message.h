// The messages between daemons as one variant, for visitors, and the port
// through which the rest of the daemon sends them.

#ifndef MEDLARSPREAD_PEER_MESSAGE_H_
#define MEDLARSPREAD_PEER_MESSAGE_H_

#include <cstdint>
#include <functional>
#include <string>
#include <variant>

#include "src/base/result.h"
#include "src/peer/gen/peer_types.h"

namespace medlarspread::peer {

using Message = std::variant<wire::Heartbeat,
                             wire::SubQuery,
                             wire::ShardReply,
                             wire::CancelSubQuery,
                             wire::TargetsRequest,
                             wire::TargetsBody,
                             wire::ClaimRequest,
                             wire::ClaimReply>;

// The daemon that a message came from.
struct Sender {
  std::string name;
  std::int64_t incarnation = 0;
};

// Sends to other VMs by name. A message that was queued may still be lost with
// its link; DidLosePeer tells.
struct PeerPort {
  // Queues the message for the peer, connecting if need be. Returns an error
  // if the peer is not known or its queue is full: then nothing is sent.
  std::function<base::Status(const std::string& peer, Message)> send;
};

// Runs for each message received, on a traffic thread, in order per link.
using DidReceive = std::function<void(const Sender&, Message)>;

// Runs when a link to a peer is lost: replies that it owed will not come.
using DidLosePeer = std::function<void(const std::string& peer)>;

}  // namespace medlarspread::peer

#endif  // MEDLARSPREAD_PEER_MESSAGE_H_
