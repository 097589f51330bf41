// A non-blocking UDP socket.

#ifndef MEDLARSPREAD_GOSSIP_DATAGRAM_SOCKET_H_
#define MEDLARSPREAD_GOSSIP_DATAGRAM_SOCKET_H_

#include <array>
#include <functional>
#include <memory>
#include <string>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>

#include "src/base/result.h"

namespace medlarspread::gossip {

// Runs on the thread of its context; keeps itself alive until Close().
class DatagramSocket : public std::enable_shared_from_this<DatagramSocket> {
 public:
  using DidReceive =
      std::function<void(const std::string& bytes, const std::string& peer)>;

  DatagramSocket(boost::asio::io_context& context, DidReceive did_receive);

  // Binds to "ip:port" and starts to receive.
  base::Status Open(const std::string& address);
  void Close();
  // Sends to "ip:port". A datagram that cannot be sent at once is dropped.
  void Send(const std::string& address, const std::string& bytes);

  // Valid while the socket is open.
  int port() const { return socket_.local_endpoint().port(); }

 private:
  // Longer datagrams are truncated and so fail to decode; daemons send none.
  static constexpr std::size_t kMaxDatagramBytes = 4096;

  void Receive();

  boost::asio::ip::udp::socket socket_;
  const DidReceive did_receive_;
  std::array<char, kMaxDatagramBytes> buffer_{};
  boost::asio::ip::udp::endpoint sender_;
};

}  // namespace medlarspread::gossip

#endif  // MEDLARSPREAD_GOSSIP_DATAGRAM_SOCKET_H_
