// An HTTP client towards one address. It keeps connections open for reuse.
// NOTE: the library opens a connection whenever none is idle, so the number of
// connections is bounded only by the number of requests the caller keeps in
// flight; in_flight() counts them, timed-out ones included until they end. A
// request ends shortly after its callback, when its connection is idle again.

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
  // Reported in errors.
  base::Step step = base::Step::kSendUpstream;
  std::size_t max_body_bytes = 4 << 20;
};

class Client {
 public:
  using Callback = std::function<void(base::Result<Response>)>;

  // `timers` runs the deadlines and the callbacks.
  Client(ClientSettings settings, base::TaskRunner timers);
  ~Client();
  Client(const Client&) = delete;
  Client& operator=(const Client&) = delete;

  // Sends `request` and calls `callback` once on the timers' sequence: with the
  // response, with kUnreachable if nothing was sent, with kConnectionLost if
  // the request may have left, or with kTimeout after `timeout`.
  void Send(const Request& request, base::Duration timeout, Callback callback);

  int in_flight() const;

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace medlarspread::http

#endif  // MEDLARSPREAD_HTTP_CLIENT_H_
