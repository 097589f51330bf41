// Finds the socket among the process's open descriptors.

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

// "ip:port" of an IPv4 socket, or nothing.
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

}  // namespace

void ShutDownListeningSocket(const std::string& address) {
  // NOTE: shutdown() would do for the kernel, but then each accept of the
  // library fails at once and is tried again at once, until one of them runs
  // into the listener that is being destroyed. Under a socket that takes its
  // place the accept stays pending, and closing the listener cancels it.
  const int idle = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (idle < 0) {
    return;
  }
  std::error_code ignored;
  for (const auto& entry :
       std::filesystem::directory_iterator("/proc/self/fd", ignored)) {
    const int descriptor = std::atoi(entry.path().filename().c_str());
    if (IsListening(descriptor) && AddressOf(descriptor) == address) {
      dup3(idle, descriptor, O_CLOEXEC);
    }
  }
  close(idle);
}

}  // namespace medlarspread::http
