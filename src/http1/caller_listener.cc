// The accept loop and the periodic check of the connections' timeouts.

#include "src/http1/caller_listener.h"

#include <algorithm>
#include <charconv>
#include <chrono>
#include <utility>
#include <vector>

namespace medlarspread::http1 {

namespace {

using boost::asio::ip::tcp;

// How often timeouts are checked. The timeouts themselves are seconds long.
constexpr auto kTimeoutCheckInterval = std::chrono::milliseconds(500);
// Delay after a failed accept, which is mostly due to a lack of file
// descriptors.
constexpr auto kAcceptRetryDelay = std::chrono::milliseconds(20);

}  // namespace

base::Result<tcp::endpoint> ParseEndpoint(const std::string& address) {
  const auto invalid = [&address] {
    return base::MakeError(base::ErrorCode::kInvalidArgument,
                           base::Step::kListen, address,
                           "not an ip:port address");
  };
  const auto colon = address.rfind(':');
  if (colon == std::string::npos) {
    return invalid();
  }
  boost::system::error_code error;
  const auto ip =
      boost::asio::ip::make_address(address.substr(0, colon), error);
  std::uint16_t port = 0;
  const char* end = address.data() + address.size();
  const auto parsed = std::from_chars(address.data() + colon + 1, end, port);
  if (error || parsed.ec != std::errc() || parsed.ptr != end) {
    return invalid();
  }
  return tcp::endpoint(ip, port);
}

CallerListener::CallerListener(boost::asio::io_context& context,
                               Settings settings,
                               base::Clock clock)
    : context_(context),
      settings_(std::move(settings)),
      clock_(std::move(clock)),
      acceptor_(context),
      timeout_check_timer_(context) {}

base::Status CallerListener::Open() {
  const auto endpoint = ParseEndpoint(settings_.address);
  if (!endpoint.is_ok()) {
    return endpoint.error();
  }
  boost::system::error_code error;
  acceptor_.open(endpoint.value().protocol(), error);
  if (!error) {
    acceptor_.set_option(tcp::acceptor::reuse_address(true), error);
  }
  if (!error) {
    acceptor_.bind(endpoint.value(), error);
  }
  if (!error) {
    acceptor_.listen(tcp::acceptor::max_listen_connections, error);
  }
  if (error) {
    return base::MakeError(base::ErrorCode::kUnavailable, base::Step::kListen,
                           settings_.address, error.message());
  }
  CallerConnection::Settings connection;
  connection.limits = settings_.limits;
  connection.handle = settings_.handle;
  connection.should_close = [this] { return is_draining_; };
  connection.did_close = [this](CallerConnection& closed) {
    connections_.erase(closed.shared_from_this());
  };
  connection_settings_ =
      std::make_shared<const CallerConnection::Settings>(std::move(connection));
  Accept();
  ScheduleTimeoutCheck();
  return base::Done{};
}

void CallerListener::StopAccepting() {
  boost::system::error_code ignored;
  acceptor_.close(ignored);
  CloseIdle();
}

void CallerListener::CloseAll() {
  const std::vector<std::shared_ptr<CallerConnection>> all(connections_.begin(),
                                                           connections_.end());
  for (const auto& connection : all) {
    connection->Close();
  }
}

void CallerListener::CloseIdle() {
  const std::vector<std::shared_ptr<CallerConnection>> all(connections_.begin(),
                                                           connections_.end());
  for (const auto& connection : all) {
    connection->CloseIfIdle();
  }
}

std::size_t CallerListener::requests_in_flight() const {
  return static_cast<std::size_t>(std::count_if(
      connections_.begin(), connections_.end(),
      [](const auto& connection) { return connection->is_busy(); }));
}

std::uint16_t CallerListener::port() const {
  boost::system::error_code ignored;
  return acceptor_.local_endpoint(ignored).port();
}

void CallerListener::Accept() {
  acceptor_.async_accept(
      [self = shared_from_this()](const boost::system::error_code& error,
                                  tcp::socket socket) {
        if (!self->acceptor_.is_open()) {
          return;
        }
        if (!error) {
          self->DidAccept(std::move(socket));
          self->Accept();
          return;
        }
        auto timer = std::make_shared<base::BootTimer>(self->context_);
        timer->expires_after(kAcceptRetryDelay);
        timer->async_wait([self, timer](const boost::system::error_code&) {
          if (self->acceptor_.is_open()) {
            self->Accept();
          }
        });
      });
}

void CallerListener::DidAccept(tcp::socket socket) {
  if (connections_.size() >= settings_.max_connections) {
    return;
  }
  auto connection = std::make_shared<CallerConnection>(
      std::move(socket), connection_settings_, clock_);
  connections_.insert(connection);
  connection->Start();
}

void CallerListener::ScheduleTimeoutCheck() {
  timeout_check_timer_.expires_after(kTimeoutCheckInterval);
  timeout_check_timer_.async_wait(
      [self = shared_from_this()](const boost::system::error_code& error) {
        if (error) {
          return;
        }
        const std::vector<std::shared_ptr<CallerConnection>> all(
            self->connections_.begin(), self->connections_.end());
        for (const auto& connection : all) {
          connection->CheckTimeouts();
        }
        self->ScheduleTimeoutCheck();
      });
}

}  // namespace medlarspread::http1
