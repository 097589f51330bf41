// Options of the sockets of callers, leaves and the store.

#ifndef MEDLARSPREAD_HTTP1_SOCKET_OPTIONS_H_
#define MEDLARSPREAD_HTTP1_SOCKET_OPTIONS_H_

#include <boost/asio/ip/tcp.hpp>

#include "src/base/clock.h"

namespace medlarspread::http1 {

// Sends small messages at once and finds a silent peer within about
// `silence`: bytes that stay unacknowledged for that long end the connection,
// and an idle connection is probed. Without it a connection into a partition
// looks alive for minutes. Failures are ignored: the options are refinements,
// and a socket that can't take them fails at its first use.
void SetSocketOptions(boost::asio::ip::tcp::socket& socket,
                      base::Duration silence);

}  // namespace medlarspread::http1

#endif  // MEDLARSPREAD_HTTP1_SOCKET_OPTIONS_H_
