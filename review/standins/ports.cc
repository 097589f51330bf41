// Prints free ports of 127.0.0.1, one a line. Usage: ports COUNT
//
// The ports lie below those that the system assigns to outgoing connections, so
// that none is taken between now and its use.

#include <cstdint>
#include <cstdlib>
#include <iostream>
#include <random>
#include <set>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

namespace {

constexpr int kFirstPort = 12'000;
constexpr int kLastPort = 31'000;

bool IsFree(int port) {
  const int listener = socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  const int bound =
      bind(listener, reinterpret_cast<sockaddr*>(&address), sizeof(address));
  close(listener);
  return bound == 0;
}

}  // namespace

int main(int argc, char** argv) {
  const std::size_t count = argc > 1 ? std::strtoul(argv[1], nullptr, 10) : 1;
  std::random_device random;
  std::uniform_int_distribution<int> any_port(kFirstPort, kLastPort);
  std::set<int> printed;
  while (printed.size() < count) {
    const int port = any_port(random);
    if (!printed.contains(port) && IsFree(port)) {
      printed.insert(port);
      std::cout << port << "\n";
    }
  }
  return 0;
}
