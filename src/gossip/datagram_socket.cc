// Implements the socket with Asio.

#include "src/gossip/datagram_socket.h"

#include <utility>

#include <boost/asio/buffer.hpp>

#include "src/http1/caller_listener.h"

namespace medlarspread::gossip {

namespace {

using boost::asio::ip::udp;

base::Result<udp::endpoint> ParseAddress(const std::string& address) {
  const auto endpoint = http1::ParseEndpoint(address);
  if (!endpoint.is_ok()) {
    return endpoint.error();
  }
  return udp::endpoint(endpoint.value().address(), endpoint.value().port());
}

}  // namespace

DatagramSocket::DatagramSocket(boost::asio::io_context& context,
                               DidReceive did_receive)
    : socket_(context), did_receive_(std::move(did_receive)) {}

base::Status DatagramSocket::Open(const std::string& address) {
  const auto endpoint = ParseAddress(address);
  if (!endpoint.is_ok()) {
    return endpoint.error();
  }
  boost::system::error_code error;
  socket_.open(endpoint.value().protocol(), error);
  if (!error) {
    socket_.bind(endpoint.value(), error);
  }
  if (!error) {
    socket_.non_blocking(true, error);
  }
  if (error) {
    return base::MakeError(base::ErrorCode::kUnavailable, base::Step::kListen,
                           address, error.message());
  }
  Receive();
  return base::Done{};
}

void DatagramSocket::Close() {
  boost::system::error_code ignored;
  socket_.close(ignored);
}

void DatagramSocket::Send(const std::string& address,
                          const std::string& bytes) {
  const auto endpoint = ParseAddress(address);
  if (!endpoint.is_ok() || !socket_.is_open()) {
    return;
  }
  // NOTE: the datagram is lost if the buffer is full or nothing listens on the
  // port, as it may be in the network; later reports carry the same
  // information.
  boost::system::error_code ignored;
  socket_.send_to(boost::asio::buffer(bytes), endpoint.value(), 0, ignored);
}

void DatagramSocket::Receive() {
  socket_.async_receive_from(
      boost::asio::buffer(buffer_), sender_,
      [self = shared_from_this()](const boost::system::error_code& error,
                                  std::size_t size) {
        if (!self->socket_.is_open()) {
          return;
        }
        // NOTE: an error belongs to an earlier datagram, which the receiver's
        // host rejected.
        if (!error) {
          self->did_receive_(std::string(self->buffer_.data(), size),
                             self->sender_.address().to_string() + ":" +
                                 std::to_string(self->sender_.port()));
        }
        self->Receive();
      });
}

}  // namespace medlarspread::gossip
