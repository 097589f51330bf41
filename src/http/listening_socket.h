// Access to the listening sockets that the HTTP library doesn't expose.

#ifndef MEDLARSPREAD_HTTP_LISTENING_SOCKET_H_
#define MEDLARSPREAD_HTTP_LISTENING_SOCKET_H_

#include <string>

namespace medlarspread::http {

// Makes this process's listening socket on `address` ("ip:port") refuse new
// connections; accepted connections stay open. Does nothing if there is no such
// socket.
//
// NOTE: the library can only close a listener together with all its
// connections, which would cut off requests that are just arriving.
void ShutDownListeningSocket(const std::string& address);

}  // namespace medlarspread::http

#endif  // MEDLARSPREAD_HTTP_LISTENING_SOCKET_H_
