// One TCP connection to or from a peer: connects with a timeout, reads frames
// and writes a bounded queue of frames. Its pending operations keep it alive.
// It ends with exactly one call of `did_close`.

#ifndef MEDLARSPREAD_PEER_CONNECTION_H_
#define MEDLARSPREAD_PEER_CONNECTION_H_

#include <atomic>
#include <cstddef>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/strand.hpp>

#include "src/base/boot_timer.h"
#include "src/base/clock.h"
#include "src/base/result.h"
#include "src/peer/codec.h"

namespace medlarspread::peer {

class Connection : public std::enable_shared_from_this<Connection> {
 public:
  using Strand = boost::asio::strand<boost::asio::io_context::executor_type>;
  using Socket = boost::asio::basic_stream_socket<boost::asio::ip::tcp, Strand>;

  // Both are called on the connection's strand, on a traffic thread.
  struct Handlers {
    // Receives one envelope without its header. An error closes the connection.
    std::function<base::Status(Connection&, std::string_view)> did_read;
    // The last call to a handler. The error says why the connection ended.
    std::function<void(Connection&, const base::Error&)> did_close;
  };

  // `label` names the peer in errors. Send() fails if more than
  // `max_queue_bytes` would wait to be written.
  Connection(Socket socket,
             std::shared_ptr<const Codec> codec,
             std::size_t max_queue_bytes,
             std::string label,
             Handlers handlers);

  // Starts reading and writing on a socket that is already connected.
  void Start();
  // Connects the socket first. Send() may be called before it is connected.
  void Connect(const boost::asio::ip::tcp::endpoint& endpoint,
               base::Duration timeout);

  // Queues one frame. Errors: kOverloaded (the queue is full), kConnectionLost.
  // After an error no byte of the frame is sent.
  base::Status Send(std::string frame);

  // Closes the connection at once and drops the queued frames.
  void Close(base::Error reason);
  // Closes the connection once the queued frames are written.
  void CloseAfterFlush(base::Error reason);

  const std::string& label() const { return label_; }
  bool is_closed() const { return is_closed_; }
  // Whether the connection was ever established.
  bool was_connected() const { return was_connected_; }

 private:
  base::Error MakeError(base::ErrorCode code, std::string detail) const;
  void DidConnect(const boost::system::error_code& error);
  void ReadHeader();
  void DidReadHeader(const boost::system::error_code& error);
  void ReadEnvelope(std::size_t length);
  void DidReadEnvelope(const boost::system::error_code& error);
  void WriteQueued();
  void DidWrite(const boost::system::error_code& error);
  // Called on the strand only.
  void Finish(const base::Error& reason);

  Socket socket_;
  base::BootTimer connect_timer_;
  const std::shared_ptr<const Codec> codec_;
  const std::size_t max_queue_bytes_;
  const std::string label_;
  Handlers handlers_;
  std::atomic<bool> is_closed_ = false;
  std::atomic<bool> was_connected_ = false;

  // Accessed on the strand only.
  FrameHeader header_{};
  std::string envelope_;

  std::mutex mutex_;
  // Guarded by mutex_. `queued_bytes_` counts queue_ and writing_ together and
  // never exceeds max_queue_bytes_.
  std::vector<std::string> queue_;
  std::size_t queued_bytes_ = 0;
  bool is_writing_ = false;
  bool is_flushing_ = false;
  base::Error flush_reason_;

  // The frames of the write in progress; accessed on the strand only.
  std::vector<std::string> writing_;
};

}  // namespace medlarspread::peer

#endif  // MEDLARSPREAD_PEER_CONNECTION_H_
