// Asks other daemons for news of the store, over HTTP.

#ifndef MEDLARSPREAD_RELAY_PEER_CLIENT_H_
#define MEDLARSPREAD_RELAY_PEER_CLIENT_H_

#include <functional>
#include <memory>
#include <string>

#include <boost/asio/io_context.hpp>

#include "src/base/clock.h"
#include "src/base/result.h"
#include "src/base/task_runner.h"
#include "src/http1/client_connection.h"
#include "src/relay/update_codec.h"

namespace medlarspread::relay {

// Asks the peer at an address for one of the targets of news_server.h. Errors:
// kExpired, if it does not know enough; kNotFound, if it does not know the
// question; kUnavailable, if it has no news; kMalformed; and what an exchange
// over HTTP fails with.
using FetchFromPeer =
    std::function<void(const std::string& peer,
                       const std::string& target,
                       std::function<void(base::Result<StoreUpdate>)>)>;

// How long the answer may take, the time that the peer waits for changes
// included.
base::Duration AnswerTimeout(const std::string& target);

// The news in a peer's response.
base::Result<StoreUpdate> DecodeResponse(const http1::Response& response,
                                         const std::string& peer);

// Keeps the connection to the peer that was asked last. Runs on the control
// thread.
class PeerClient : public std::enable_shared_from_this<PeerClient> {
 public:
  // `self_entry`: what this daemon says of itself to those that it asks.
  PeerClient(boost::asio::io_context& context,
             base::TaskRunner control,
             std::string self_entry);

  FetchFromPeer fetch();

 private:
  void Fetch(const std::string& peer,
             const std::string& target,
             std::function<void(base::Result<StoreUpdate>)> done);
  std::shared_ptr<http1::ClientConnection> ConnectionTo(
      const std::string& peer);

  boost::asio::io_context& context_;
  const base::TaskRunner control_;
  const std::string self_entry_;
  std::shared_ptr<http1::ClientConnection> connection_;
  std::string connected_to_;
};

}  // namespace medlarspread::relay

#endif  // MEDLARSPREAD_RELAY_PEER_CLIENT_H_
