// One request and its response on a connection, with a timeout.

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
  // The step and the peer that errors of this exchange name.
  base::Step step = base::Step::kPeerLink;
  std::string peer;
  // Called once with the response, kTimeout, or another error.
  std::function<void(base::Result<Response>)> done;
};

// Starts the exchange and accepts the next response on the connection as its
// response. After the timeout the connection is closed. `connection` may be
// null if the peer's address is invalid: then `done` gets kInvalidArgument, but
// not before this function has returned.
void StartTimedExchange(const std::shared_ptr<ClientConnection>& connection,
                        const base::TaskRunner& runner,
                        TimedExchange exchange);

}  // namespace medlarspread::http1

#endif  // MEDLARSPREAD_HTTP1_TIMED_EXCHANGE_H_
