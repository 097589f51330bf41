// The asynchronous operations of a connection:
//
// 1. Once connected, it starts to read and writes the queued frames.
// 2. It reads a header, then an envelope, until the handler returns an error.
// 3. Each write sends all queued frames at once, so that a burst of frames
// needs
//    few system calls.
// 4. Finish() closes the socket. Pending operations then complete with an
// error,
//    which is ignored because the connection is already closed.

#include "src/peer/connection.h"

#include <utility>

#include <boost/asio/buffer.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

namespace medlarspread::peer {

namespace {

using base::ErrorCode;
using boost::system::error_code;

// A read buffer above this size is freed when the next envelope is small,
// because most of the many connections are idle.
constexpr std::size_t kRetainedBufferBytes = 4096;

}  // namespace

Connection::Connection(Socket socket,
                       std::shared_ptr<const Codec> codec,
                       std::size_t max_queue_bytes,
                       std::string label,
                       Handlers handlers)
    : socket_(std::move(socket)),
      connect_timer_(socket_.get_executor()),
      codec_(std::move(codec)),
      max_queue_bytes_(max_queue_bytes),
      label_(std::move(label)),
      handlers_(std::move(handlers)) {}

base::Error Connection::MakeError(ErrorCode code, std::string detail) const {
  return base::MakeError(code, base::Step::kPeerLink, label_,
                         std::move(detail));
}

void Connection::Start() {
  boost::asio::post(socket_.get_executor(), [self = shared_from_this()] {
    self->DidConnect(error_code());
  });
}

void Connection::Connect(const boost::asio::ip::tcp::endpoint& endpoint,
                         base::Duration timeout) {
  {
    // Until the socket is connected, Send() must only queue.
    const std::lock_guard lock(mutex_);
    is_writing_ = true;
  }
  boost::asio::post(socket_.get_executor(), [self = shared_from_this(),
                                             endpoint, timeout] {
    self->connect_timer_.expires_after(timeout);
    self->connect_timer_.async_wait([self](const error_code& error) {
      if (!error) {
        self->Finish(self->MakeError(ErrorCode::kTimeout, "connect timed out"));
      }
    });
    self->socket_.async_connect(
        endpoint, [self](const error_code& error) { self->DidConnect(error); });
  });
}

void Connection::DidConnect(const error_code& error) {
  if (is_closed_) {
    return;
  }
  connect_timer_.cancel();
  if (error) {
    Finish(MakeError(ErrorCode::kUnreachable, error.message()));
    return;
  }
  was_connected_ = true;
  error_code ignored;
  // Without the option the link only has a higher latency.
  socket_.set_option(boost::asio::ip::tcp::no_delay(true), ignored);
  ReadHeader();
  WriteQueued();
}

void Connection::ReadHeader() {
  boost::asio::async_read(
      socket_, boost::asio::buffer(header_),
      [self = shared_from_this()](const error_code& error, std::size_t) {
        self->DidReadHeader(error);
      });
}

void Connection::DidReadHeader(const error_code& error) {
  if (is_closed_) {
    return;
  }
  if (error) {
    Finish(MakeError(ErrorCode::kConnectionLost, error.message()));
    return;
  }
  const auto length = codec_->DecodeHeader(header_, label_);
  if (!length.is_ok()) {
    Finish(length.error());
    return;
  }
  ReadEnvelope(length.value());
}

void Connection::ReadEnvelope(std::size_t length) {
  envelope_.resize(length);
  if (envelope_.capacity() > kRetainedBufferBytes &&
      length <= kRetainedBufferBytes) {
    envelope_.shrink_to_fit();
  }
  boost::asio::async_read(
      socket_, boost::asio::buffer(envelope_),
      [self = shared_from_this()](const error_code& error, std::size_t) {
        self->DidReadEnvelope(error);
      });
}

void Connection::DidReadEnvelope(const error_code& error) {
  if (is_closed_) {
    return;
  }
  if (error) {
    Finish(MakeError(ErrorCode::kConnectionLost,
                     "truncated frame: " + error.message()));
    return;
  }
  const base::Status status = handlers_.did_read(*this, envelope_);
  if (!status.is_ok()) {
    Finish(status.error());
    return;
  }
  if (!is_closed_) {
    ReadHeader();
  }
}

base::Status Connection::Send(std::string frame) {
  {
    const std::lock_guard lock(mutex_);
    if (is_closed_ || is_flushing_) {
      return MakeError(ErrorCode::kConnectionLost, "link is closed");
    }
    if (queued_bytes_ + frame.size() > max_queue_bytes_) {
      return MakeError(ErrorCode::kOverloaded, "queue is full");
    }
    queued_bytes_ += frame.size();
    queue_.push_back(std::move(frame));
    if (std::exchange(is_writing_, true)) {
      return base::Done{};
    }
  }
  boost::asio::post(socket_.get_executor(),
                    [self = shared_from_this()] { self->WriteQueued(); });
  return base::Done{};
}

void Connection::WriteQueued() {
  if (is_closed_) {
    return;
  }
  bool is_flushed = false;
  {
    const std::lock_guard lock(mutex_);
    writing_.clear();
    std::swap(writing_, queue_);
    is_writing_ = !writing_.empty();
    is_flushed = is_flushing_ && writing_.empty();
  }
  if (is_flushed) {
    Finish(flush_reason_);
    return;
  }
  if (writing_.empty()) {
    return;
  }
  std::vector<boost::asio::const_buffer> buffers;
  buffers.reserve(writing_.size());
  for (const std::string& frame : writing_) {
    buffers.push_back(boost::asio::buffer(frame));
  }
  boost::asio::async_write(
      socket_, buffers,
      [self = shared_from_this()](const error_code& error, std::size_t) {
        self->DidWrite(error);
      });
}

void Connection::DidWrite(const error_code& error) {
  if (is_closed_) {
    return;
  }
  if (error) {
    Finish(MakeError(ErrorCode::kConnectionLost, error.message()));
    return;
  }
  {
    const std::lock_guard lock(mutex_);
    for (const std::string& frame : writing_) {
      queued_bytes_ -= frame.size();
    }
  }
  WriteQueued();
}

void Connection::Close(base::Error reason) {
  boost::asio::post(socket_.get_executor(),
                    [self = shared_from_this(), reason = std::move(reason)] {
                      self->Finish(reason);
                    });
}

void Connection::CloseAfterFlush(base::Error reason) {
  {
    const std::lock_guard lock(mutex_);
    if (std::exchange(is_flushing_, true)) {
      return;
    }
    flush_reason_ = std::move(reason);
    if (std::exchange(is_writing_, true)) {
      return;
    }
  }
  boost::asio::post(socket_.get_executor(),
                    [self = shared_from_this()] { self->WriteQueued(); });
}

void Connection::Finish(const base::Error& reason) {
  if (is_closed_.exchange(true)) {
    return;
  }
  connect_timer_.cancel();
  error_code ignored;
  // Errors don't matter, since the socket is not used again.
  socket_.shutdown(boost::asio::ip::tcp::socket::shutdown_both, ignored);
  socket_.close(ignored);
  {
    const std::lock_guard lock(mutex_);
    queue_.clear();
  }
  // Moved out of the member to break the reference cycle: the handlers may own
  // the owner of this connection.
  const Handlers handlers = std::exchange(handlers_, Handlers());
  handlers.did_close(*this, reason);
}

}  // namespace medlarspread::peer
