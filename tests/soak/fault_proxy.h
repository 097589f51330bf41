// A loopback proxy between a daemon and what it calls: it delays, resets, cuts
// one way, or falls silent, as the soak says.
//
// Runs on the thread of its context; set_fault() too.

#ifndef MEDLARSPREAD_TESTS_SOAK_FAULT_PROXY_H_
#define MEDLARSPREAD_TESTS_SOAK_FAULT_PROXY_H_

#include <array>
#include <memory>
#include <set>
#include <string>
#include <utility>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

namespace medlarspread::soak {

enum class LinkFault {
  kNone,
  // Bytes arrive 80 ms late.
  kDelay,
  // Connections are reset, new ones too.
  kReset,
  // What the target sends does not arrive.
  kOneWay,
  // Nothing arrives on either side; connections stay open.
  kSilent,
};

class FaultProxy {
 public:
  FaultProxy(boost::asio::io_context& context, std::string target);

  std::string address() const;
  void set_fault(LinkFault fault);
  // Another process has the address now: new connections go there.
  void set_target(std::string target) { target_ = std::move(target); }
  // The target's process has ended: new connections are refused.
  void Close();

 private:
  class Link;

  void Accept();

  boost::asio::io_context& context_;
  std::string target_;
  boost::asio::ip::tcp::acceptor acceptor_;
  LinkFault fault_ = LinkFault::kNone;
  std::set<std::shared_ptr<Link>> links_;
};

}  // namespace medlarspread::soak

#endif  // MEDLARSPREAD_TESTS_SOAK_FAULT_PROXY_H_
