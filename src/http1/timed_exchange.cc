// Reports the response, the failure or the timeout, whichever comes first.

#include "src/http1/timed_exchange.h"

#include <utility>

#include "src/base/overloaded.h"

namespace medlarspread::http1 {

void StartTimedExchange(const std::shared_ptr<ClientConnection>& connection,
                        const base::TaskRunner& runner,
                        TimedExchange exchange) {
  if (!connection) {
    runner.Post([exchange = std::move(exchange)] {
      exchange.done(base::MakeError(base::ErrorCode::kInvalidArgument,
                                    exchange.step, exchange.peer,
                                    "not an ip:port address"));
    });
    return;
  }
  auto timer = std::make_shared<base::Timer>();
  auto finish = std::make_shared<std::function<void(base::Result<Response>)>>(
      std::move(exchange.done));
  const auto end = [timer, finish](base::Result<Response> result) {
    timer->Cancel();
    if (const auto callback = std::exchange(*finish, nullptr)) {
      callback(std::move(result));
    }
  };
  *timer = runner.After(
      exchange.timeout,
      [connection, end, step = exchange.step, peer = exchange.peer] {
        connection->Abort();
        end(base::MakeError(base::ErrorCode::kTimeout, step, peer,
                            "no response before the timeout"));
      });
  Exchange started;
  started.request = std::move(exchange.request);
  started.match = [](const Response&) { return ResponseMatch::kYes; };
  started.done = [end, step = exchange.step](ExchangeResult result) {
    std::visit(
        base::Overloaded{[&](Response& response) { end(std::move(response)); },
                         [&](ExchangeFailure& failure) {
                           failure.error.step = step;
                           end(std::move(failure.error));
                         }},
        result);
  };
  connection->Start(std::move(started));
}

}  // namespace medlarspread::http1
