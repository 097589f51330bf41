// One connection attempt with a timeout.

#include "src/http1/port_check.h"

#include <memory>
#include <utility>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>

#include "src/base/task_runner.h"
#include "src/http1/caller_listener.h"

namespace medlarspread::http1 {

namespace {

struct Check {
  explicit Check(boost::asio::io_context& context) : socket(context) {}

  void End(PortState state) {
    timer.Cancel();
    boost::system::error_code ignored;
    socket.close(ignored);
    if (const auto report = std::exchange(done, nullptr)) {
      report(state);
    }
  }

  boost::asio::ip::tcp::socket socket;
  base::Timer timer;
  std::function<void(PortState)> done;
};

PortState StateOf(const boost::system::error_code& error) {
  if (!error) {
    return PortState::kListening;
  }
  return error == boost::asio::error::connection_refused ? PortState::kRefused
                                                         : PortState::kSilent;
}

}  // namespace

void CheckPort(boost::asio::io_context& context,
               const std::string& address,
               base::Duration timeout,
               std::function<void(PortState)> done) {
  const auto endpoint = ParseEndpoint(address);
  if (!endpoint.is_ok()) {
    boost::asio::post(context,
                      [done = std::move(done)] { done(PortState::kSilent); });
    return;
  }
  auto check = std::make_shared<Check>(context);
  check->done = std::move(done);
  check->timer = base::TaskRunner(context).After(
      timeout, [check] { check->End(PortState::kSilent); });
  check->socket.async_connect(endpoint.value(),
                              [check](const boost::system::error_code& error) {
                                check->End(StateOf(error));
                              });
}

}  // namespace medlarspread::http1
