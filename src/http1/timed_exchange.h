// One request and its response on a connection, within a bound of time.

#ifndef MEDLARSPREAD_HTTP1_TIMED_EXCHANGE_H_
#define MEDLARSPREAD_HTTP1_TIMED_EXCHANGE_H_

#include <functional>
#include <memory>
#include <string>

#include "src/base/clock.h"
#include "src/base/result.h"
#include "src/base/task_runner.h"
#include "src/http1/client_connection.h"
#include "src/http1/message.h"

namespace medlarspread::http1 {

struct TimedExchange {
  std::shared_ptr<Request> request;
  base::Duration timeout{};
  // What errors carry: the step that the exchange belongs to, and the peer.
  base::Step step = base::Step::kPeerLink;
  std::string peer;
  // Called once: with the response, kTimeout, or why the exchange failed.
  std::function<void(base::Result<Response>)> done;
};

// Takes the next response on the connection for the request's; the connection
// is given up when the time has passed. `connection` may be null, if the peer's
// address is none: then `done` is told so, never inside the call.
void Start(const std::shared_ptr<ClientConnection>& connection,
           const base::TaskRunner& runner,
           TimedExchange exchange);

}  // namespace medlarspread::http1

#endif  // MEDLARSPREAD_HTTP1_TIMED_EXCHANGE_H_
