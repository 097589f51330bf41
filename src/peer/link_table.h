// Which links this daemon has and which incarnation of each peer is the newest
// seen. Guards itself; never calls out while it is locked.

#ifndef MEDLARSPREAD_PEER_LINK_TABLE_H_
#define MEDLARSPREAD_PEER_LINK_TABLE_H_

#include <condition_variable>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <vector>

#include "src/base/clock.h"
#include "src/base/random.h"
#include "src/base/result.h"
#include "src/peer/connection.h"
#include "src/peer/message.h"

namespace medlarspread::peer {

using ConnectionPointer = std::shared_ptr<Connection>;

// How long a failed outgoing link waits before it is tried again.
struct BackoffSettings {
  base::Duration initial{};
  base::Duration maximum{};
};

class LinkTable {
 public:
  LinkTable(BackoffSettings backoff, base::Clock clock, std::uint64_t seed);

  // Makes the connection to `address` with `connect` if there is none. If a
  // link to another address of the peer exists, it is returned in `replaced`
  // to be closed. Errors: kUnreachable (in backoff), kStopping.
  struct Outgoing {
    ConnectionPointer connection;
    ConnectionPointer replaced;
  };
  base::Result<Outgoing> FindOrConnect(
      const std::string& peer,
      const std::string& address,
      const std::function<ConnectionPointer()>& connect);

  // Whether the connection was taken in; false once closed.
  bool AddIncoming(const ConnectionPointer& connection);

  // What the name and incarnation in an envelope mean for the links.
  struct Identification {
    // The highest incarnation of the sender seen so far, this one included.
    std::int64_t newest_incarnation = 0;
    // Links of older incarnations, to be closed.
    std::vector<ConnectionPointer> outdated;
  };
  Identification Identify(const ConnectionPointer& connection,
                          const Sender& sender);

  // Forgets a closed link. Returns the peer if the loss concerns it, or an
  // empty name for links that never carried anything.
  std::string Remove(const Connection& connection, bool is_failure);

  // All links to and from the peer.
  std::vector<ConnectionPointer> LinksOf(const std::string& peer) const;

  // Drops what is remembered of a peer that has no links and will not be
  // talked to again.
  void Forget(const std::string& peer);

  // Takes no new links from now on and returns all that exist.
  std::vector<ConnectionPointer> Shut();
  // Whether all links were gone before `timeout` had passed.
  bool WaitUntilEmpty(base::Duration timeout);

  std::size_t size() const;

 private:
  // State of the way to one peer. It outlives its connection, for the backoff.
  struct Peer {
    std::string address;
    ConnectionPointer connection;
    int failures = 0;
    base::MonotonicTime retry_at;
  };
  struct Incoming {
    ConnectionPointer connection;
    // Empty until the first envelope.
    Sender sender;
  };

  void NoteFailure(Peer& peer);

  const BackoffSettings backoff_;
  const base::Clock clock_;
  base::Random random_;

  mutable std::mutex mutex_;
  std::condition_variable did_remove_;
  bool is_shut_ = false;
  std::map<std::string, Peer> outgoing_;
  std::map<const Connection*, Incoming> incoming_;
  // Outgoing connections that were replaced and have not finished closing.
  std::set<ConnectionPointer> replaced_;
  std::map<std::string, std::int64_t> newest_incarnations_;
};

}  // namespace medlarspread::peer

#endif  // MEDLARSPREAD_PEER_LINK_TABLE_H_
