// Sends opaque requests to leaves over persistent connections.
//
// A leaf accepts a limited number of connections from all daemons together.
// Each daemon uses at most its share, so that no connection is reset because
// another daemon uses too many. A connection carries one request at a time, and
// never the same request twice (CarriedRequests).
//
// All calls and callbacks are on the traffic thread.

#ifndef MEDLARSPREAD_UPSTREAM_FORWARD_CLIENT_H_
#define MEDLARSPREAD_UPSTREAM_FORWARD_CLIENT_H_

#include <functional>
#include <list>
#include <map>
#include <memory>
#include <string>

#include <boost/asio/io_context.hpp>

#include "src/base/clock.h"
#include "src/base/task_runner.h"
#include "src/blackboard/views.h"
#include "src/http1/client_connection.h"
#include "src/upstream/forward_port.h"

namespace medlarspread::upstream {

// The wire format of requests and replies.
struct ForwardCodec {
  std::function<http1::Request(const blackboard::Upstream&, const ForwardCall&)>
      encode;
  // Sets the remaining time in an encoded request.
  std::function<void(http1::Request&, base::Duration)> set_time_left;
  // Whether a response received on the connection belongs to the call.
  std::function<http1::ResponseMatch(const ForwardCall&,
                                     const http1::Response&)>
      match;
  // Must not throw, whatever the response contains.
  std::function<ForwardReply(const blackboard::Upstream&, http1::Response)>
      decode;
  // Whether the server may send a response a second time, later on the same
  // connection.
  bool may_repeat_responses = false;
};

struct ForwardClientSettings {
  // Limit on what is received for one call, see http1::ClientConnection. A
  // longer response ends the call as lost, with kTooLarge.
  std::size_t max_response_bytes = 256 << 10;
};

struct ForwardClientCounters {
  std::int64_t sends = 0;
  std::int64_t connections_opened = 0;
  // Connections that were closed to make room for one that has not carried the
  // request to be sent.
  std::int64_t connections_replaced = 0;
  std::int64_t cancels = 0;
};

class ForwardClient {
 public:
  // `connection_share` returns this daemon's share of the connections that a
  // leaf accepts. The daemon may open that many, and always one. If the share
  // is below one, there are more daemons than the leaf accepts connections, and
  // the daemon closes its connection as soon as it is not needed.
  ForwardClient(
      ForwardClientSettings settings,
      boost::asio::io_context& context,
      base::Clock clock,
      base::TaskRunner traffic,
      ForwardCodec codec,
      std::function<double(const blackboard::Upstream&)> connection_share);
  ~ForwardClient();

  ForwardClient(const ForwardClient&) = delete;
  ForwardClient& operator=(const ForwardClient&) = delete;

  ForwardPort port();
  // Closes the idle connections to all leaves that are not in `view`.
  void Prune(const blackboard::UpstreamsView& view);
  // Closes connections that were not needed recently. Must be called regularly.
  void CloseSpare();
  ForwardClientCounters counters() const;

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace medlarspread::upstream

#endif  // MEDLARSPREAD_UPSTREAM_FORWARD_CLIENT_H_
