// A peer port that can be handed out before the peer network exists. The
// network needs the receivers of its messages, and these need the port: the
// slot between them is filled once, before anything is sent.

#ifndef MEDLARSPREAD_DAEMON_LATE_PEER_PORT_H_
#define MEDLARSPREAD_DAEMON_LATE_PEER_PORT_H_

#include <cassert>
#include <memory>
#include <string>
#include <utility>

#include "src/peer/message.h"

namespace medlarspread::daemon {

class LatePeerPort {
 public:
  // The port that forwards to the one given to Fill().
  peer::PeerPort port() const {
    return {[slot = slot_](const std::string& peer, peer::Message message) {
      assert(slot->send);
      return slot->send(peer, std::move(message));
    }};
  }

  void Fill(peer::PeerPort target) {
    assert(!slot_->send);
    *slot_ = std::move(target);
  }

 private:
  const std::shared_ptr<peer::PeerPort> slot_ =
      std::make_shared<peer::PeerPort>();
};

}  // namespace medlarspread::daemon

#endif  // MEDLARSPREAD_DAEMON_LATE_PEER_PORT_H_
