// Sends opaque requests to leaves over kept connections.
//
// A leaf takes a bounded number of connections from all daemons together. Each
// daemon uses at most its share, so that none is reset for another's excess.
// One connection carries one request at a time.
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

// How requests and replies are written on the wire.
struct ForwardCodec {
  std::function<http1::Request(const blackboard::Upstream&, const ForwardCall&)>
      encode;
  // States the time left in an encoded request.
  std::function<void(http1::Request&, base::Duration)> set_time_left;
  // Whether an answer on the connection belongs to the call.
  std::function<bool(const ForwardCall&, const http1::Response&)> is_mine;
  // Never throws, whatever the answer holds.
  std::function<ForwardReply(const blackboard::Upstream&, http1::Response)>
      decode;
};

struct ForwardClientCounters {
  std::int64_t sends = 0;
  std::int64_t connections_opened = 0;
  std::int64_t cancels = 0;
};

class ForwardClient {
 public:
  // `connection_share` gives this daemon's part of the connections that a leaf
  // accepts. It may have as many, and always one. Where its part is less than
  // one, it gives the one back as soon as it is not needed: there are more
  // daemons than places.
  ForwardClient(
      boost::asio::io_context& context,
      base::Clock clock,
      base::TaskRunner traffic,
      ForwardCodec codec,
      std::function<double(const blackboard::Upstream&)> connection_share);
  ~ForwardClient();

  ForwardClient(const ForwardClient&) = delete;
  ForwardClient& operator=(const ForwardClient&) = delete;

  ForwardPort port();
  // Closes the connections without a request to all leaves but those in `view`.
  void Prune(const blackboard::UpstreamsView& view);
  // Closes what the load of the last moments did not need. To be called now and
  // then.
  void CloseSpare();
  ForwardClientCounters counters() const;

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace medlarspread::upstream

#endif  // MEDLARSPREAD_UPSTREAM_FORWARD_CLIENT_H_
