// The asynchronous accept loop.

#include "src/peer/acceptor.h"

#include <utility>

#include <boost/asio/post.hpp>

#include "src/peer/endpoint.h"

namespace medlarspread::peer {

namespace {

using base::ErrorCode;
using base::Step;
using boost::system::error_code;

}  // namespace

Acceptor::Acceptor(boost::asio::io_context& traffic,
                   base::Duration retry_delay,
                   base::Log log,
                   DidAccept did_accept)
    : traffic_(traffic),
      timers_(traffic),
      retry_delay_(retry_delay),
      log_(std::move(log)),
      did_accept_(std::move(did_accept)),
      acceptor_(boost::asio::make_strand(traffic)) {}

base::Status Acceptor::Open(const std::string& listen_address) {
  const auto endpoint = ParseEndpoint(listen_address);
  if (!endpoint.is_ok()) {
    return endpoint.error();
  }
  try {
    acceptor_.open(endpoint.value().protocol());
    acceptor_.set_option(boost::asio::socket_base::reuse_address(true));
    acceptor_.bind(endpoint.value());
    acceptor_.listen();
    address_ = FormatEndpoint(acceptor_.local_endpoint());
  } catch (const boost::system::system_error& failure) {
    return base::MakeError(ErrorCode::kUnavailable, Step::kListen,
                           listen_address, failure.what());
  }
  boost::asio::post(acceptor_.get_executor(),
                    [self = shared_from_this()] { self->Accept(); });
  return base::Done{};
}

void Acceptor::Close() {
  if (is_closed_.exchange(true)) {
    return;
  }
  boost::asio::post(acceptor_.get_executor(), [self = shared_from_this()] {
    error_code ignored;
    self->acceptor_.close(ignored);
  });
}

void Acceptor::Accept() {
  acceptor_.async_accept(
      boost::asio::make_strand(traffic_),
      [self = shared_from_this()](const error_code& error,
                                  Connection::Socket socket) {
        self->HandleAccept(error, std::move(socket));
      });
}

void Acceptor::HandleAccept(const error_code& error,
                            Connection::Socket socket) {
  if (is_closed_) {
    return;
  }
  if (!error) {
    did_accept_(std::move(socket));
    Accept();
    return;
  }
  log_.DidFail(base::MakeError(ErrorCode::kUnavailable, Step::kListen, address_,
                               error.message()),
               "accepting a connection failed; retrying after a delay");
  // The process has most likely run out of file descriptors, so a retry makes
  // sense only after some have been closed.
  timers_.After(retry_delay_, [self = shared_from_this()] {
    boost::asio::post(self->acceptor_.get_executor(),
                      [self] { self->Accept(); });
  });
}

}  // namespace medlarspread::peer
