// Connects, writes requests and parses responses.

#include "src/http1/client_connection.h"

#include <algorithm>
#include <cassert>
#include <cctype>
#include <chrono>
#include <string_view>
#include <utility>

#include <boost/beast/http/write.hpp>

#include "src/http1/socket_options.h"

namespace medlarspread::http1 {

namespace {

namespace http = boost::beast::http;
using base::ErrorCode;
using base::Step;

constexpr std::size_t kReadBytes = 4096;
// Subtracted from the peer's keep-alive timeout: the peer's timer starts when
// it sends the response, and it closes the connection right at the timeout, so
// a request sent shortly before that could be lost.
constexpr base::Duration kKeepAliveMargin = base::Milliseconds(700);

// The pieces of what a server sends at once arrive within this time of each
// other.
constexpr base::Duration kPieceInterval = base::Milliseconds(10);

// The value of `timeout=` in a Keep-Alive field, in whole seconds.
std::optional<int> KeepAliveSeconds(const Response& response) {
  const auto field = response.find(http::field::keep_alive);
  if (field == response.end()) {
    return std::nullopt;
  }
  const std::string text(field->value());
  const std::string name = "timeout=";
  const auto at = text.find(name);
  if (at == std::string::npos) {
    return std::nullopt;
  }
  return std::atoi(text.c_str() + at + name.size());
}

std::string_view View(const boost::beast::flat_buffer& buffer) {
  const auto bytes = buffer.data();
  return {static_cast<const char*>(bytes.data()), bytes.size()};
}

}  // namespace

ClientConnection::ClientConnection(boost::asio::io_context& context,
                                   Settings settings)
    : context_(context),
      settings_(std::move(settings)),
      socket_(context),
      connect_timer_(context),
      judge_timer_(context) {}

void ClientConnection::Preconnect() {
  if (!is_open_ && !is_connecting_ && !is_closed_) {
    Connect();
  }
}

void ClientConnection::Start(Exchange exchange) {
  assert(is_free());
  exchange_ = std::move(exchange);
  ++exchanges_;
  was_sent_ = false;
  should_close_ = false;
  received_bytes_ = 0;
  charged_bytes_ = 0;
  discarded_responses_ = 0;
  StartParser();
  if (is_open_) {
    Write();
    return;
  }
  Preconnect();
}

void ClientConnection::Abort() {
  exchange_.reset();
  Close();
}

void ClientConnection::Close() {
  if (is_closed_) {
    return;
  }
  is_closed_ = true;
  connect_timer_.cancel();
  judge_timer_.cancel();
  boost::system::error_code ignored;
  socket_.close(ignored);
  if (exchange_) {
    Fail(ErrorCode::kConnectionLost, "the connection was closed");
  }
  settings_.did_change(*this);
}

void ClientConnection::Connect() {
  is_connecting_ = true;
  connect_timer_.expires_after(settings_.connect_timeout);
  connect_timer_.async_wait(
      [self = shared_from_this()](const boost::system::error_code& error) {
        if (!error && !self->is_open_ && !self->is_closed_) {
          self->Fail(ErrorCode::kUnreachable, "connect timed out");
          self->Close();
        }
      });
  socket_.async_connect(
      settings_.peer,
      [self = shared_from_this()](const boost::system::error_code& error) {
        self->DidConnect(error);
      });
}

void ClientConnection::DidConnect(const boost::system::error_code& error) {
  if (is_closed_) {
    return;
  }
  connect_timer_.cancel();
  is_connecting_ = false;
  if (error) {
    Fail(ErrorCode::kUnreachable, error.message());
    Close();
    return;
  }
  is_open_ = true;
  SetSocketOptions(socket_, settings_.silence_timeout);
  Read();
  if (exchange_) {
    Write();
  }
}

void ClientConnection::Write() {
  is_writing_ = true;
  was_sent_ = true;
  const auto request = exchange_->request;
  if (exchange_->will_write) {
    exchange_->will_write(*request);
  }
  http::async_write(socket_, *request,
                    [self = shared_from_this(), request](
                        const boost::system::error_code& error, std::size_t) {
                      self->is_writing_ = false;
                      if (self->is_closed_) {
                        return;
                      }
                      if (error) {
                        self->DidEnd(error);
                      } else if (!self->exchange_) {
                        self->settings_.did_change(*self);
                      }
                    });
}

void ClientConnection::Read() {
  socket_.async_read_some(
      buffer_.prepare(kReadBytes),
      [self = shared_from_this()](const boost::system::error_code& error,
                                  std::size_t size) {
        self->DidRead(error, size);
      });
}

void ClientConnection::DidRead(const boost::system::error_code& error,
                               std::size_t size) {
  if (is_closed_) {
    return;
  }
  buffer_.commit(size);
  if (error) {
    DidEnd(error);
    return;
  }
  if (!exchange_) {
    // Bytes without a request. What follows them could be mistaken for the
    // response to the next request.
    Close();
    return;
  }
  received_bytes_ += size;
  charged_bytes_ += std::max(size, kMinReadCharge);
  Parse();
  if (exchange_ && charged_bytes_ > settings_.max_response_bytes) {
    FailOverLimit(std::to_string(settings_.max_response_bytes) + " bytes");
  }
  if (!is_closed_) {
    Read();
  }
}

void ClientConnection::FailOverLimit(const std::string& limit) {
  Fail(ErrorCode::kTooLarge, "the response has not ended after " +
                                 std::to_string(received_bytes_) +
                                 " bytes; the limit is " + limit);
  Close();
}

void ClientConnection::StartParser() {
  parsed_.reset();
  splices_.Start();
  parser_ = std::make_unique<Parser>();
  parser_->body_limit(settings_.max_response_bytes);
  if (exchange_->request->method() == http::verb::head) {
    parser_->skip(true);
  }
}

void ClientConnection::Parse() {
  while (buffer_.size() > 0 && !is_closed_) {
    if (parsed_) {
      if (!CanJudge()) {
        return;
      }
      Judge();
      continue;
    }
    boost::system::error_code error;
    const std::size_t used = parser_->put(buffer_.data(), error);
    splices_.Add(View(buffer_).substr(0, used));
    buffer_.consume(used);
    if (splices_.is_spliced()) {
      FailAsSpliced();
      return;
    }
    if (error == http::error::need_more) {
      return;
    }
    if (error == http::error::body_limit ||
        error == http::error::header_limit) {
      FailOverLimit(error == http::error::body_limit
                        ? std::to_string(settings_.max_response_bytes) +
                              " bytes"
                        : "that of a header");
      return;
    }
    if (error) {
      FailAsMalformed(error.message());
      return;
    }
    if (parser_->is_done()) {
      DidParse();
    } else if (parser_->is_header_done() && !parser_->eager()) {
      // NOTE: an eager parser goes on after a header whose length is over the
      // limit, reserves that length, and throws.
      parser_->eager(true);
    } else {
      return;
    }
  }
}

void ClientConnection::DidParse() {
  parsed_ = parser_->release();
  if (CanJudge()) {
    Judge();
  } else {
    JudgeLater();
  }
}

bool ClientConnection::CanJudge() const {
  return has_ended_ || IsFinal(splices_.VerdictWith(View(buffer_)));
}

void ClientConnection::JudgeLater() {
  judge_timer_.expires_after(kPieceInterval);
  judge_timer_.async_wait(
      [self = shared_from_this()](const boost::system::error_code& error) {
        if (!error && self->parsed_ && !self->is_closed_) {
          self->Judge();
          self->Parse();
        }
      });
}

void ClientConnection::Judge() {
  judge_timer_.cancel();
  Response response = std::move(*std::exchange(parsed_, std::nullopt));
  const SpliceVerdict verdict = splices_.VerdictWith(View(buffer_));
  if (verdict == SpliceVerdict::kSpliced ||
      verdict == SpliceVerdict::kLikelySpliced) {
    FailAsSpliced();
    return;
  }
  constexpr unsigned kFirstFinalStatus = 200;
  const bool is_interim = response.result_int() < kFirstFinalStatus;
  const ResponseMatch match =
      is_interim ? ResponseMatch::kNo : exchange_->match(response);
  const bool is_used = exchanges_ > 1;
  switch (match) {
    case ResponseMatch::kYes:
      Accept(std::move(response), match);
      return;
    case ResponseMatch::kNo:
      Discard();
      return;
    case ResponseMatch::kUnknown:
      if (is_used) {
        FailAsMalformed("the response may belong to another request");
      } else {
        Accept(std::move(response), match);
      }
      return;
    case ResponseMatch::kInvalid:
      FailAsMalformed("the response contradicts itself");
      return;
  }
}

void ClientConnection::Discard() {
  if (++discarded_responses_ > kMaxDiscardedResponses) {
    FailOverLimit(std::to_string(kMaxDiscardedResponses) +
                  " responses to discard");
    return;
  }
  StartParser();
}

void ClientConnection::FailAsMalformed(const std::string& detail) {
  Fail(ErrorCode::kMalformed, detail);
  Close();
}

void ClientConnection::FailAsSpliced() {
  FailAsMalformed(
      "the response is spliced from two: " +
      (splices_.is_spliced() ? "another one begins at its byte " +
                                   std::to_string(splices_.splice_offset())
                             : "another one begins in its last bytes") +
      (exchanges_ > 1 ? ", on a used connection" : ", on a new connection"));
}

void ClientConnection::Accept(Response response, ResponseMatch match) {
  // NOTE: bytes after the response belong to no request and could be mistaken
  // for the next response on this connection, as could a second copy of a
  // response that does not name its request.
  should_close_ = has_ended_ || !response.keep_alive() || response.need_eof() ||
                  buffer_.size() > 0 || match == ResponseMatch::kUnknown;
  UpdateIdleUntil(response);
  Finish(std::move(response));
}

void ClientConnection::DidEnd(const boost::system::error_code& error) {
  has_ended_ = true;
  if (parsed_) {
    Judge();
    Parse();
  }
  if (exchange_ && error == boost::asio::error::eof && parser_->got_some()) {
    boost::system::error_code ending;
    parser_->put_eof(ending);
    if (!ending && parser_->is_done()) {
      DidParse();
    }
  }
  if (exchange_) {
    Fail(ErrorCode::kConnectionLost, error.message());
  }
  Close();
}

void ClientConnection::UpdateIdleUntil(const Response& response) {
  idle_until_.reset();
  if (const auto seconds = KeepAliveSeconds(response)) {
    idle_until_ =
        base::Clock().Now() + std::chrono::seconds(*seconds) - kKeepAliveMargin;
  }
}

void ClientConnection::Fail(ErrorCode code, const std::string& detail) {
  if (exchange_) {
    Finish(ExchangeFailure{
        base::MakeError(code, Step::kSendUpstream, peer_name(), detail),
        was_sent_});
  }
}

void ClientConnection::Finish(ExchangeResult result) {
  const auto self = shared_from_this();
  const Exchange exchange = std::move(*exchange_);
  exchange_.reset();
  if (should_close_ && !is_closed_) {
    Close();
  } else if (is_free()) {
    settings_.did_change(*this);
  }
  exchange.done(std::move(result));
}

std::string ClientConnection::peer_name() const {
  return settings_.peer.address().to_string() + ":" +
         std::to_string(settings_.peer.port());
}

}  // namespace medlarspread::http1
