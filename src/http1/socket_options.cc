// Sets TCP_NODELAY, TCP_USER_TIMEOUT and the keep-alive options.

#include "src/http1/socket_options.h"

#include <algorithm>
#include <chrono>

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace medlarspread::http1 {

namespace {

constexpr int kProbes = 2;

void SetInteger(int socket, int level, int name, int value) {
  (void)setsockopt(socket, level, name, &value, sizeof(value));
}

}  // namespace

void SetSocketOptions(boost::asio::ip::tcp::socket& socket,
                      base::Duration silence_timeout) {
  using std::chrono::duration_cast;
  const int handle = socket.native_handle();
  const auto milliseconds =
      duration_cast<std::chrono::milliseconds>(silence_timeout).count();
  const auto seconds =
      duration_cast<std::chrono::seconds>(silence_timeout).count();
  const int interval = std::max<int>(1, static_cast<int>(seconds) / kProbes);
  SetInteger(handle, IPPROTO_TCP, TCP_NODELAY, 1);
  SetInteger(handle, IPPROTO_TCP, TCP_USER_TIMEOUT,
             static_cast<int>(milliseconds));
  SetInteger(handle, SOL_SOCKET, SO_KEEPALIVE, 1);
  SetInteger(handle, IPPROTO_TCP, TCP_KEEPIDLE, interval);
  SetInteger(handle, IPPROTO_TCP, TCP_KEEPINTVL, interval);
  SetInteger(handle, IPPROTO_TCP, TCP_KEEPCNT, kProbes);
}

}  // namespace medlarspread::http1
