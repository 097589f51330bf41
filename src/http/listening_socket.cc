// Finds the socket among the process's open file descriptors.

#include "src/http/listening_socket.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cstdlib>
#include <filesystem>
#include <system_error>

namespace medlarspread::http {

namespace {

bool IsListening(int descriptor) {
  int is_listening = 0;
  socklen_t size = sizeof(is_listening);
  return getsockopt(descriptor, SOL_SOCKET, SO_ACCEPTCONN, &is_listening,
                    &size) == 0 &&
         is_listening != 0;
}

// "ip:port" of an IPv4 socket, or an empty string.
std::string AddressOf(int descriptor) {
  sockaddr_in address{};
  socklen_t size = sizeof(address);
  auto* generic = reinterpret_cast<sockaddr*>(&address);
  if (getsockname(descriptor, generic, &size) != 0 ||
      address.sin_family != AF_INET) {
    return "";
  }
  char text[INET_ADDRSTRLEN] = {};
  inet_ntop(AF_INET, &address.sin_addr, text, sizeof(text));
  return std::string(text) + ":" + std::to_string(ntohs(address.sin_port));
}

// Returns a listening socket on a random loopback port that no client knows, or
// -1.
int OpenIdleSocket() {
  const int descriptor =
      socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  const auto* generic = reinterpret_cast<const sockaddr*>(&address);
  if (descriptor >= 0 && bind(descriptor, generic, sizeof(address)) == 0 &&
      listen(descriptor, 0) == 0) {
    return descriptor;
  }
  close(descriptor);
  return -1;
}

// Replaces the listening socket with one that gets no connections; dup3()
// closes the old one.
//
// NOTE: shutdown() doesn't work here. After a failed accept the library retries
// at once and forever, which occupies a thread and reads the listener after it
// was destroyed. With the idle socket the library's accept stays pending.
void ReplaceWithIdleSocket(int descriptor) {
  const int idle = OpenIdleSocket();
  if (idle < 0) {
    return;
  }
  dup3(idle, descriptor, O_CLOEXEC);
  close(idle);
}

}  // namespace

void ShutDownListeningSocket(const std::string& address) {
  std::error_code ignored;
  for (const auto& entry :
       std::filesystem::directory_iterator("/proc/self/fd", ignored)) {
    const int descriptor = std::atoi(entry.path().filename().c_str());
    if (IsListening(descriptor) && AddressOf(descriptor) == address) {
      ReplaceWithIdleSocket(descriptor);
    }
  }
}

}  // namespace medlarspread::http
