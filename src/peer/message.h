// The messages between daemons as a variant, and the interface through which
// the rest of the daemon sends them.

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

// Sends messages to other VMs by name. A queued message may still be lost with
// its link; DidLosePeer reports that.
struct PeerPort {
  // Queues the message for the peer and connects if necessary. If it returns an
  // error, such as an unknown peer or a full queue, nothing is sent.
  std::function<base::Status(const std::string& peer, Message)> send;
};

// Called for each received message on a traffic thread, in the order of arrival
// on each link.
using DidReceive = std::function<void(const Sender&, Message)>;

// Called when a link to or from a peer is lost: outstanding replies from the
// peer may never arrive.
using DidLosePeer = std::function<void(const std::string& peer)>;

}  // namespace medlarspread::peer

#endif  // MEDLARSPREAD_PEER_MESSAGE_H_
