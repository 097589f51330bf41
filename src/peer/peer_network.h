// The links of this daemon to all others. One outgoing link per peer carries
// everything that this daemon says to it; what the peer says arrives over the
// link that the peer opened. So each connection has one writer, a reply needs
// no memory of how its request came, and the loss of either direction tells
// that replies may be missing.
//
// 1. Open() listens. Send() looks the peer's address up in the membership view
//    and connects on the first message; a failed link is tried again with
//    backoff, and messages in between are refused at once.
// 2. A peer is known by the name and incarnation in its envelopes. Once a newer
//    incarnation has been seen, links of older ones are closed, and a link that
//    an older one opens is answered with one heartbeat that shows the newer
//    incarnation, so that it learns that it was replaced.
// 3. A daemon that leaves the membership view loses its links: that is how a
//    half-open connection or a frozen peer ends, since peers that are heard
//    stay in the view.
// 4. Close() writes what is queued, for a bounded time.

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
  // Grows with each start of this daemon's process.
  std::int64_t incarnation = 0;
  // "ip:port"; port 0 takes a free one.
  std::string listen_address;
  std::size_t max_frame_bytes = std::size_t{4} * 1024 * 1024;
  // Bytes that may wait to be written to one peer.
  std::size_t max_queue_bytes = std::size_t{16} * 1024 * 1024;
  base::Duration connect_timeout = base::Milliseconds(1000);
  // After a failed link the next try waits this long, doubled with each
  // failure up to the maximum, and shortened at random by up to a half.
  base::Duration initial_backoff = base::Milliseconds(50);
  base::Duration max_backoff = base::Milliseconds(2000);
  // How often the links are compared with the membership view.
  base::Duration prune_interval = base::Milliseconds(250);
  // Bound on writing out the queues in Close().
  base::Duration flush_timeout = base::Milliseconds(2000);
};

class PeerNetwork {
 public:
  // `traffic` must run on at least one thread, and it and `blackboard` must
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

  // Where it listens, "ip:port", with the port that was taken. Valid once open.
  const std::string& address() const;

  // May be copied and outlives this object; sends fail once it is closed.
  // Errors of send: kNotFound (peer not in the view), kInvalidArgument (this
  // daemon itself, or an address that can't be read), kUnreachable (in
  // backoff), kConnectionLost (the link ended just now), kOverloaded,
  // kTooLarge, kStopping.
  PeerPort port();

  // Refuses new messages, writes what is queued and closes all links. No
  // callback runs after it. Blocks; must not be called on a traffic thread.
  void Close();

  const TrafficCounter& sent() const;
  const TrafficCounter& received() const;
  // Links that are open or opening, in both directions.
  std::size_t link_count() const;

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace medlarspread::peer

#endif  // MEDLARSPREAD_PEER_PEER_NETWORK_H_
