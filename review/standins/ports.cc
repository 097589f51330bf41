// Prints free ports of 127.0.0.1, one a line. Usage: ports COUNT

#include <cstdlib>
#include <iostream>
#include <vector>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>

int main(int argc, char** argv) {
  const int count = argc > 1 ? std::atoi(argv[1]) : 1;
  // All are held until the last one is known, so that none is printed twice.
  for (int index = 0; index < count; ++index) {
    const int held = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof(address);
    if (bind(held, reinterpret_cast<sockaddr*>(&address), sizeof(address)) !=
            0 ||
        getsockname(held, reinterpret_cast<sockaddr*>(&address), &size) != 0) {
      return 1;
    }
    std::cout << ntohs(address.sin_port) << "\n";
  }
  return 0;
}
