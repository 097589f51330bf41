// Accepts TCP connections from peers. Its pending operations keep it alive
// until Close() is called.

#ifndef MEDLARSPREAD_PEER_ACCEPTOR_H_
#define MEDLARSPREAD_PEER_ACCEPTOR_H_

#include <atomic>
#include <functional>
#include <memory>
#include <string>

#include <boost/asio/basic_socket_acceptor.hpp>
#include <boost/asio/io_context.hpp>

#include "src/base/clock.h"
#include "src/base/log.h"
#include "src/base/result.h"
#include "src/base/task_runner.h"
#include "src/peer/connection.h"

namespace medlarspread::peer {

class Acceptor : public std::enable_shared_from_this<Acceptor> {
 public:
  // Called on a traffic thread, never concurrently. The socket has its own
  // strand on the same io_context.
  using DidAccept = std::function<void(Connection::Socket)>;

  // A failed accept is retried after `retry_delay`.
  Acceptor(boost::asio::io_context& traffic,
           base::Duration retry_delay,
           base::Log log,
           DidAccept did_accept);

  // Listens on "ip:port"; port 0 lets the system choose one. Errors:
  // kInvalidArgument, kUnavailable.
  base::Status Open(const std::string& listen_address);
  // Safe to call from any thread, more than once.
  void Close();

  // "ip:port" with the actual port. Valid after Open().
  const std::string& address() const { return address_; }

 private:
  void Accept();
  void HandleAccept(const boost::system::error_code& error,
                    Connection::Socket socket);

  boost::asio::io_context& traffic_;
  const base::TaskRunner timers_;
  const base::Duration retry_delay_;
  const base::Log log_;
  const DidAccept did_accept_;
  std::string address_;
  std::atomic<bool> is_closed_ = false;
  // After Open(), accessed only on its own strand.
  boost::asio::basic_socket_acceptor<boost::asio::ip::tcp, Connection::Strand>
      acceptor_;
};

}  // namespace medlarspread::peer

#endif  // MEDLARSPREAD_PEER_ACCEPTOR_H_
