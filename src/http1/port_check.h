// Checks whether a process listens at an address, by opening a connection and
// closing it at once.

#ifndef MEDLARSPREAD_HTTP1_PORT_CHECK_H_
#define MEDLARSPREAD_HTTP1_PORT_CHECK_H_

#include <functional>
#include <string>

#include <boost/asio/io_context.hpp>

#include "src/base/clock.h"
#include "src/base/name_table.h"

namespace medlarspread::http1 {

enum class PortState {
  // The host accepted the connection.
  kListening,
  // The host refused the connection: no process listens on the port.
  kRefused,
  // No reply before the timeout, or a failure other than a refused connection,
  // such as an invalid address.
  kSilent,
};

inline constexpr base::NameTable<PortState, 3> kPortStateNames{{{
    {PortState::kListening, "listening"},
    {PortState::kRefused, "refused"},
    {PortState::kSilent, "silent"},
}}};

// Calls `done` once on the context's thread, never before CheckPort() has
// returned. `address` is "ip:port".
void CheckPort(boost::asio::io_context& context,
               const std::string& address,
               base::Duration timeout,
               std::function<void(PortState)> done);

}  // namespace medlarspread::http1

#endif  // MEDLARSPREAD_HTTP1_PORT_CHECK_H_
