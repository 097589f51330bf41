// Tries ports in order; each process starts at a different one.

#include "tests/support/free_port.h"

#include <unistd.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

namespace medlarspread::tests {

namespace {

using boost::asio::ip::tcp;

constexpr int kFirstPort = 12'000;
constexpr int kPorts = 20'000;
// The distance between the first ports of processes with consecutive process
// identifiers.
constexpr int kStride = 97;

bool IsFree(int port) {
  boost::asio::io_context context;
  tcp::acceptor acceptor(context, tcp::v4());
  boost::system::error_code error;
  acceptor.bind({boost::asio::ip::address_v4::loopback(),
                 static_cast<unsigned short>(port)},
                error);
  return !error;
}

}  // namespace

int FreePort() {
  static int next = getpid() * kStride % kPorts;
  while (true) {
    next = (next + 1) % kPorts;
    if (IsFree(kFirstPort + next)) {
      return kFirstPort + next;
    }
  }
}

}  // namespace medlarspread::tests
