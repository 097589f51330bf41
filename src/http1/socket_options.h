// Options for the TCP sockets of callers, leaves and the store.

#ifndef MEDLARSPREAD_HTTP1_SOCKET_OPTIONS_H_
#define MEDLARSPREAD_HTTP1_SOCKET_OPTIONS_H_

#include <boost/asio/ip/tcp.hpp>

#include "src/base/clock.h"

namespace medlarspread::http1 {

// Disables Nagle's algorithm and makes the connection fail when the peer's host
// has not responded for about `silence_timeout`: TCP_USER_TIMEOUT covers
// unacknowledged data, keep-alive probes cover idle connections. Without this a
// connection across a network partition seems to be open for minutes. Errors
// are ignored: the options are not essential, and a broken socket fails at its
// first use anyway.
void SetSocketOptions(boost::asio::ip::tcp::socket& socket,
                      base::Duration silence_timeout);

}  // namespace medlarspread::http1

#endif  // MEDLARSPREAD_HTTP1_SOCKET_OPTIONS_H_
