// An HTTP server on one address. It limits the size of request bodies and the
// time they may take to arrive. Handlers respond through a responder, at any
// later time and from any thread.

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

// Sets the number of traffic threads, which are the HTTP library's threads and
// run TrafficContext(). Call once, before any other use of the library.
void InitializeTrafficThreads(int count);

// The event loop that the traffic threads run.
boost::asio::io_context& TrafficContext();

// Sends the response. Calls after the first are ignored.
using Responder = std::function<void(Response)>;
using Handler = std::function<void(const Request&, Responder)>;

struct ListenerSettings {
  // "ip:port". Port 0 selects a free port; see Listener::address().
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
  // Refuses new connections. Open ones are still served; each is closed after
  // its next response.
  void StopAccepting();
  // Blocks until the requests in flight are answered, then closes the listener.
  void Close();

  // The listening address with the actual port. Valid after Open().
  const std::string& address() const;
  // Requests that have arrived and are not yet answered.
  int in_flight() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace medlarspread::http

#endif  // MEDLARSPREAD_HTTP_LISTENER_H_
