// The open links of this daemon and the newest incarnation seen of each peer.
// Safe to use from any thread. Calls back (`connect` of FindOrConnect()) while
// its mutex is locked, so the callback must not use the table.

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

// Delays before the next connection attempt to a peer after failures.
struct BackoffSettings {
  base::Duration initial{};
  base::Duration maximum{};
};

class LinkTable {
 public:
  LinkTable(BackoffSettings backoff, base::Clock clock, std::uint64_t seed);

  // Returns the connection to `address`; calls `connect` to create it if there
  // is none. If the peer had a link to another address, the caller must close
  // that one, which is in `replaced`. Errors: kUnreachable (in backoff),
  // kStopping.
  struct Outgoing {
    ConnectionPointer connection;
    ConnectionPointer replaced;
  };
  base::Result<Outgoing> FindOrConnect(
      const std::string& peer,
      const std::string& address,
      const std::function<ConnectionPointer()>& connect);

  // Adds an accepted connection. Returns false after CloseToNewLinks().
  bool AddIncoming(const ConnectionPointer& connection);

  // The result of recording the sender of an envelope.
  struct SenderUpdate {
    // The highest incarnation of the sender seen so far, this one included.
    std::int64_t newest_incarnation = 0;
    // Links of older incarnations, to be closed.
    std::vector<ConnectionPointer> outdated;
  };
  SenderUpdate RecordSender(const ConnectionPointer& connection,
                            const Sender& sender);

  // Removes a closed link. Returns the name of its peer, or an empty string for
  // an incoming link that never received a message.
  std::string Remove(const Connection& connection, bool is_failure);

  // All links to and from the peer, except replaced ones.
  std::vector<ConnectionPointer> LinksOf(const std::string& peer) const;

  // Discards the state of a peer that was removed from the fleet. Links that
  // are still open stay in the table.
  void DiscardPeer(const std::string& peer);

  // Rejects new links from now on and returns all that are open.
  std::vector<ConnectionPointer> CloseToNewLinks();
  // Blocks until all links are removed; returns false after `timeout`.
  bool WaitUntilEmpty(base::Duration timeout);

  std::size_t size() const;

 private:
  // The outgoing link to one peer. The entry outlives the connection, because
  // it holds the backoff state.
  struct Peer {
    std::string address;
    ConnectionPointer connection;
    int failures = 0;
    base::MonotonicTime retry_at;
  };
  struct Incoming {
    ConnectionPointer connection;
    // Empty until the first envelope has arrived.
    Sender sender;
  };

  void RecordFailure(Peer& peer);

  const BackoffSettings backoff_;
  const base::Clock clock_;
  base::Random random_;

  mutable std::mutex mutex_;
  std::condition_variable did_remove_;
  bool is_closed_ = false;
  std::map<std::string, Peer> outgoing_;
  std::map<const Connection*, Incoming> incoming_;
  // Outgoing connections that were replaced and have not finished closing.
  std::set<ConnectionPointer> replaced_;
  std::map<std::string, std::int64_t> newest_incarnations_;
};

}  // namespace medlarspread::peer

#endif  // MEDLARSPREAD_PEER_LINK_TABLE_H_
