// An HTTP client for one address, with a pool of reusable connections.
// NOTE: the HTTP library opens a connection whenever none is idle, so only the
// number of requests in flight limits the number of connections. in_flight()
// counts them; a request that timed out counts until the library has finished
// it. A request is finished shortly after its callback, once its connection is
// idle.

#ifndef MEDLARSPREAD_HTTP_CLIENT_H_
#define MEDLARSPREAD_HTTP_CLIENT_H_

#include <cstddef>
#include <functional>
#include <memory>
#include <string>

#include "src/base/clock.h"
#include "src/base/error.h"
#include "src/base/result.h"
#include "src/base/task_runner.h"
#include "src/http/message.h"

namespace medlarspread::http {

struct ClientSettings {
  std::string address;
  // The step that errors name.
  base::Step step = base::Step::kSendUpstream;
  std::size_t max_body_bytes = 4 << 20;
};

class Client {
 public:
  using Callback = std::function<void(base::Result<Response>)>;

  // Timeouts and callbacks run on `timers`.
  Client(ClientSettings settings, base::TaskRunner timers);
  ~Client();
  Client(const Client&) = delete;
  Client& operator=(const Client&) = delete;

  // Sends `request` and calls `callback` once on the sequence of `timers`: with
  // the response, kUnreachable if nothing was sent, kConnectionLost if the
  // request may have been sent, or kTimeout after `timeout`.
  void Send(const Request& request, base::Duration timeout, Callback callback);

  int in_flight() const;

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace medlarspread::http

#endif  // MEDLARSPREAD_HTTP_CLIENT_H_
