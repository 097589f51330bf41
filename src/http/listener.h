// An HTTP server on one address. Bodies are bounded in size and in the time
// they may take to arrive; handlers answer through a responder at any later
// time and from any thread.

#ifndef MEDLARSPREAD_HTTP_LISTENER_H_
#define MEDLARSPREAD_HTTP_LISTENER_H_

#include <cstddef>
#include <functional>
#include <memory>
#include <string>

#include <boost/asio/io_context.hpp>

#include "src/base/clock.h"
#include "src/base/result.h"
#include "src/http/message.h"

namespace medlarspread::http {

// Sets the number of traffic threads of the HTTP library, which are also the
// threads behind TrafficContext(). Call once, before any other use.
void InitializeTrafficThreads(int count);

// The event loop that the traffic threads run.
boost::asio::io_context& TrafficContext();

// Sends the response. The first call counts, later ones are ignored.
using Responder = std::function<void(Response)>;
using Handler = std::function<void(const Request&, Responder)>;

struct ListenerSettings {
  // "127.0.0.1:8080". Port 0 takes a free port; see Listener::address().
  std::string address;
  std::size_t max_body_bytes = 1 << 20;
  base::Duration body_timeout = base::Milliseconds(5000);
};

class Listener {
 public:
  Listener(ListenerSettings settings, Handler handler);
  ~Listener();
  Listener(const Listener&) = delete;
  Listener& operator=(const Listener&) = delete;

  base::Status Open();
  // Refuses new connections, while those that are open are still served; each
  // is asked to close with its next response.
  void StopAccepting();
  // Stops accepting and waits until the requests in flight are answered.
  void Close();

  // The address that is listened on, with the real port. Valid after Open().
  const std::string& address() const;
  // Requests that have arrived and are not yet answered.
  int in_flight() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace medlarspread::http

#endif  // MEDLARSPREAD_HTTP_LISTENER_H_
