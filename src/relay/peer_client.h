// Fetches store updates from other daemons over HTTP.

#ifndef MEDLARSPREAD_RELAY_PEER_CLIENT_H_
#define MEDLARSPREAD_RELAY_PEER_CLIENT_H_

#include <functional>
#include <map>
#include <memory>
#include <string>

#include <boost/asio/io_context.hpp>

#include "src/base/clock.h"
#include "src/base/result.h"
#include "src/base/task_runner.h"
#include "src/http1/client_connection.h"
#include "src/relay/update_codec.h"

namespace medlarspread::relay {

// Requests one of the targets of update_server.h from the peer at an address.
// Errors: kExpired, if the peer's history does not reach back far enough;
// kNotFound, if it does not support the request; kUnavailable, if it has no
// data; kMalformed; and the errors of an HTTP exchange.
using FetchFromPeer =
    std::function<void(const std::string& peer,
                       const std::string& target,
                       std::function<void(base::Result<StoreUpdate>)>)>;

// The timeout of a request, including the time that the peer may hold it while
// it waits for changes.
base::Duration AnswerTimeout(const std::string& target);

// The update in a peer's response, or the error that its status stands for.
base::Result<StoreUpdate> DecodeResponse(const http1::Response& response,
                                         const std::string& peer);

// Several requests may be in progress at the same time, each on a connection of
// its own. The connection of the last watch is kept for reuse, and so are those
// of recent probes, one of which may become the next. Runs on the control
// thread.
class PeerClient : public std::enable_shared_from_this<PeerClient> {
 public:
  // `self_entry`: the description of this daemon that is sent with each
  // request.
  PeerClient(boost::asio::io_context& context,
             base::TaskRunner control,
             std::string self_entry);

  FetchFromPeer fetch();

 private:
  void Fetch(const std::string& peer,
             const std::string& target,
             std::function<void(base::Result<StoreUpdate>)> done);
  // A free connection to the peer, or a new one; null if the address is
  // invalid.
  std::shared_ptr<http1::ClientConnection> ConnectionTo(
      const std::string& peer);
  void DidChange(const std::string& peer, http1::ClientConnection& connection);
  // Closes the free connections to all other peers.
  void CloseOthers(const std::string& peer);

  boost::asio::io_context& context_;
  const base::TaskRunner control_;
  const std::string self_entry_;
  // The last connection to each peer. Replaced ones end with their request.
  std::map<std::string, std::shared_ptr<http1::ClientConnection>> connections_;
};

}  // namespace medlarspread::relay

#endif  // MEDLARSPREAD_RELAY_PEER_CLIENT_H_
