// Reads, parses and answers the requests of one connection.

#include "src/http1/caller_connection.h"

#include <limits>
#include <utility>

#include <boost/asio/write.hpp>
#include <boost/beast/http/write.hpp>

#include "src/http1/socket_options.h"

namespace medlarspread::http1 {

namespace {

namespace http = boost::beast::http;

constexpr std::size_t kReadBytes = 4096;
// Limit on buffered bytes of pipelined requests. Above it the connection is not
// read, so that a disconnect is detected only later.
constexpr std::size_t kMaxPipelinedBytes = 64 << 10;
// How long bytes sent to a caller may stay unacknowledged before the connection
// is closed.
constexpr base::Duration kSilenceTimeout = base::Milliseconds(4'000);
// Added to the idle timeout: callers may send a request until the timeout ends,
// and the connection must still be open when the request arrives.
constexpr base::Duration kIdleMargin = base::Milliseconds(1'000);

Response MakeEmpty(Status status) {
  Response response(status, 11);
  response.prepare_payload();
  return response;
}

}  // namespace

CallerConnection::CallerConnection(boost::asio::ip::tcp::socket socket,
                                   std::shared_ptr<const Settings> settings,
                                   base::Clock clock)
    : socket_(std::move(socket)),
      settings_(std::move(settings)),
      clock_(std::move(clock)),
      last_activity_(clock_.Now()) {}

void CallerConnection::Start() {
  SetSocketOptions(socket_, kSilenceTimeout);
  StartParser();
  Read();
}

void CallerConnection::CheckTimeouts() {
  if (state_ != State::kReading) {
    return;
  }
  const MessageLimits limits = settings_->limits();
  const base::MonotonicTime now = clock_.Now();
  const bool has_begun = parser_->got_some();
  if (has_begun && !parser_->is_header_done() &&
      now - request_start_ > limits.header_timeout) {
    Refuse(Status::request_timeout);
    return;
  }
  if (now - last_activity_ > limits.idle_timeout + kIdleMargin) {
    Close();
  }
}

void CallerConnection::CloseIfIdle() {
  if (state_ == State::kReading && !parser_->got_some()) {
    Close();
  }
}

void CallerConnection::Read() {
  if (is_read_pending_ || is_closed_ || buffer_.size() > kMaxPipelinedBytes) {
    return;
  }
  is_read_pending_ = true;
  socket_.async_read_some(
      buffer_.prepare(kReadBytes),
      [self = shared_from_this()](const boost::system::error_code& error,
                                  std::size_t size) {
        self->DidRead(error, size);
      });
}

void CallerConnection::DidRead(const boost::system::error_code& error,
                               std::size_t size) {
  is_read_pending_ = false;
  if (is_closed_) {
    return;
  }
  buffer_.commit(size);
  if (error) {
    DidDisconnect();
    return;
  }
  last_activity_ = clock_.Now();
  if (state_ == State::kReading) {
    Parse();
  }
  Read();
}

void CallerConnection::StartParser() {
  const MessageLimits limits = settings_->limits();
  parser_ = std::make_unique<Parser>();
  parser_->eager(true);
  parser_->header_limit(static_cast<std::uint32_t>(limits.header_bytes));
  parser_->body_limit(limits.body_bytes);
  sent_continue_ = false;
}

void CallerConnection::Parse() {
  while (state_ == State::kReading && buffer_.size() > 0 && !is_closed_) {
    if (!parser_->got_some()) {
      request_start_ = clock_.Now();
    }
    boost::system::error_code error;
    const std::size_t used = parser_->put(buffer_.data(), error);
    buffer_.consume(used);
    if (error == http::error::need_more) {
      SendContinueIfExpected();
      return;
    }
    if (error) {
      DidFailToParse(error);
      return;
    }
    if (!parser_->is_done()) {
      SendContinueIfExpected();
      continue;
    }
    DidParse();
  }
}

void CallerConnection::SendContinueIfExpected() {
  if (sent_continue_ || !parser_->is_header_done() ||
      !boost::beast::iequals(parser_->get()[http::field::expect],
                             "100-continue")) {
    return;
  }
  sent_continue_ = true;
  auto text =
      std::make_shared<const std::string>("HTTP/1.1 100 Continue\r\n\r\n");
  boost::asio::async_write(
      socket_, boost::asio::buffer(*text),
      [self = shared_from_this(), text](const boost::system::error_code& error,
                                        std::size_t) {
        if (error) {
          self->DidDisconnect();
        }
      });
}

void CallerConnection::DidParse() {
  Request request = parser_->release();
  is_keep_alive_ = request.keep_alive();
  is_head_ = request.method() == http::verb::head;
  state_ = State::kWorking;
  const std::uint64_t number = ++request_;
  auto abandon =
      settings_->handle(std::move(request),
                        [self = shared_from_this(), number](Response response) {
                          self->DidRespond(number, std::move(response));
                        });
  // The handler may already have responded.
  if (state_ == State::kWorking && number == request_) {
    abandon_ = std::move(abandon);
  }
}

void CallerConnection::DidFailToParse(const boost::system::error_code& error) {
  if (error == http::error::header_limit) {
    Refuse(Status::request_header_fields_too_large);
  } else if (error == http::error::body_limit) {
    Refuse(Status::payload_too_large);
  } else {
    Refuse(Status::bad_request);
  }
}

void CallerConnection::DidRespond(std::uint64_t request, Response response) {
  if (is_closed_ || request != request_ || state_ != State::kWorking) {
    return;
  }
  abandon_ = nullptr;
  const bool should_close = !is_keep_alive_ || settings_->should_close();
  Write(std::move(response), should_close);
}

void CallerConnection::Refuse(Status status) {
  Write(MakeEmpty(status), true);
}

void CallerConnection::Write(Response response, bool should_close) {
  state_ = State::kWriting;
  // NOTE: a leaf's response to HEAD has a Content-Length but no body. Only the
  // header is written then, because the serializer would wait for the body.
  auto message = std::make_shared<Response>(std::move(response));
  message->keep_alive(!should_close);
  auto serializer =
      std::make_shared<http::response_serializer<http::string_body, Fields>>(
          *message);
  const auto did_write = [self = shared_from_this(), message, serializer,
                          should_close](const boost::system::error_code& error,
                                        std::size_t) {
    self->DidWrite(error, should_close);
  };
  if (is_head_) {
    http::async_write_header(socket_, *serializer, did_write);
  } else {
    http::async_write(socket_, *serializer, did_write);
  }
}

void CallerConnection::DidWrite(const boost::system::error_code& error,
                                bool should_close) {
  if (is_closed_) {
    return;
  }
  if (error || should_close) {
    Close();
    return;
  }
  state_ = State::kReading;
  last_activity_ = clock_.Now();
  StartParser();
  Parse();
  Read();
}

void CallerConnection::DidDisconnect() {
  if (auto abandon = std::exchange(abandon_, nullptr)) {
    abandon();
  }
  Close();
}

void CallerConnection::Close() {
  if (is_closed_) {
    return;
  }
  is_closed_ = true;
  boost::system::error_code ignored;
  socket_.shutdown(boost::asio::ip::tcp::socket::shutdown_send, ignored);
  socket_.close(ignored);
  settings_->did_close(*this);
}

}  // namespace medlarspread::http1
