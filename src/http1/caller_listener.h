// Accepts HTTP/1.1 connections and owns them until they are closed.

#ifndef MEDLARSPREAD_HTTP1_CALLER_LISTENER_H_
#define MEDLARSPREAD_HTTP1_CALLER_LISTENER_H_

#include <memory>
#include <set>
#include <string>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include "src/base/boot_timer.h"
#include "src/base/clock.h"
#include "src/base/result.h"
#include "src/http1/caller_connection.h"

namespace medlarspread::http1 {

// Parses "ip:port". Errors: kInvalidArgument.
base::Result<boost::asio::ip::tcp::endpoint> ParseEndpoint(
    const std::string& address);

class CallerListener : public std::enable_shared_from_this<CallerListener> {
 public:
  struct Settings {
    std::string address;
    std::function<MessageLimits()> limits;
    HandleRequest handle;
    // Limit on open connections, which bounds memory and file descriptors. A
    // further connection is closed before anything is read from it, so callers
    // know that their request was not executed.
    std::size_t max_connections = 2'000;
  };

  CallerListener(boost::asio::io_context& context,
                 Settings settings,
                 base::Clock clock);

  // Errors: kInvalidArgument, kUnavailable (the address can't be bound).
  base::Status Open();
  // Closes each connection after its next response from now on.
  void StartDraining() { is_draining_ = true; }
  // Stops accepting connections and closes those without a request.
  void StopAccepting();
  // Closes the connections on which no request is being received or processed.
  void CloseIdle();
  // Closes every connection at once, as the exit of the process would.
  void CloseAll();

  std::size_t connections() const { return connections_.size(); }
  // Requests being processed or answered.
  std::size_t requests_in_flight() const;
  // The actual port, also if the address has port 0.
  std::uint16_t port() const;

 private:
  void Accept();
  void DidAccept(boost::asio::ip::tcp::socket socket);
  void ScheduleTimeoutCheck();

  boost::asio::io_context& context_;
  const Settings settings_;
  const base::Clock clock_;
  boost::asio::ip::tcp::acceptor acceptor_;
  base::BootTimer timeout_check_timer_;
  std::shared_ptr<const CallerConnection::Settings> connection_settings_;
  std::set<std::shared_ptr<CallerConnection>> connections_;
  bool is_draining_ = false;
};

}  // namespace medlarspread::http1

#endif  // MEDLARSPREAD_HTTP1_CALLER_LISTENER_H_
