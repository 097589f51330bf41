// The links between this daemon and its peers. All messages to a peer are sent
// over one outgoing link; messages from the peer arrive over the link that the
// peer opened. So each connection has a single writer, a reply needs no record
// of the connection that carried its request, and the loss of either link
// signals that replies may be missing.
//
// 1. Open() starts listening. The first message to a peer looks up its address
// in
//    the membership view and connects. A failed link is retried with
//    exponential backoff; until then messages to the peer fail immediately.
// 2. A peer is identified by the name and incarnation in its envelopes. Once a
//    newer incarnation has been seen, links of older ones are closed. A link
//    that an older incarnation opens later is answered with one heartbeat that
//    carries the newer incarnation, so that the older process learns that it
//    was replaced.
// 3. When a peer leaves the membership view, its links are closed. This cleans
// up
//    half-open connections and links to frozen peers, because peers that still
//    respond stay in the view.
// 4. Close() writes the queued messages, with a timeout.

#ifndef MEDLARSPREAD_PEER_PEER_NETWORK_H_
#define MEDLARSPREAD_PEER_PEER_NETWORK_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>

#include <boost/asio/io_context.hpp>

#include "src/base/clock.h"
#include "src/base/log.h"
#include "src/base/result.h"
#include "src/blackboard/blackboard.h"
#include "src/peer/message.h"
#include "src/peer/traffic_counters.h"

namespace medlarspread::peer {

struct PeerNetworkSettings {
  std::string self_name;
  // Increases with each start of this daemon's process.
  std::int64_t incarnation = 0;
  // "ip:port"; port 0 lets the system choose one.
  std::string listen_address;
  std::size_t max_frame_bytes = std::size_t{4} * 1024 * 1024;
  // Bytes that may wait to be written to one peer.
  std::size_t max_queue_bytes = std::size_t{16} * 1024 * 1024;
  base::Duration connect_timeout = base::Milliseconds(1000);
  // Delay before the next attempt after a failed link. It doubles with each
  // failure up to the maximum; random jitter shortens it by up to a half.
  base::Duration initial_backoff = base::Milliseconds(50);
  base::Duration max_backoff = base::Milliseconds(2000);
  // How often the links are compared with the membership view.
  base::Duration prune_interval = base::Milliseconds(250);
  // How long Close() may take to write the queued messages.
  base::Duration flush_timeout = base::Milliseconds(2000);
};

class PeerNetwork {
 public:
  // At least one thread must run `traffic`. `traffic` and `blackboard` must
  // outlive this object.
  PeerNetwork(PeerNetworkSettings settings,
              boost::asio::io_context& traffic,
              const blackboard::Blackboard& blackboard,
              DidReceive did_receive,
              DidLosePeer did_lose_peer,
              base::Clock clock = base::Clock(),
              base::Log log = base::Log());
  // Closes if Close() was not called.
  ~PeerNetwork();

  PeerNetwork(const PeerNetwork&) = delete;
  PeerNetwork& operator=(const PeerNetwork&) = delete;

  // Starts listening. Errors: kInvalidArgument, kUnavailable.
  base::Status Open();

  // The listening address, "ip:port", with the actual port. Valid after Open().
  const std::string& address() const;

  // The port may be copied and may outlive this object; sends fail once this is
  // closed. Errors of send: kNotFound (the peer is not in the membership view),
  // kInvalidArgument (the peer is this daemon itself, or its address is
  // invalid), kUnreachable (in backoff), kConnectionLost (the link was just
  // lost), kOverloaded, kTooLarge, kStopping.
  PeerPort port();

  // Rejects new messages, writes the queued ones and closes all links. Blocks;
  // must not be called on a traffic thread. No callback runs after it returns.
  void Close();

  const TrafficCounter& sent() const;
  const TrafficCounter& received() const;
  // Links in both directions, including those still connecting.
  std::size_t link_count() const;

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace medlarspread::peer

#endif  // MEDLARSPREAD_PEER_PEER_NETWORK_H_
