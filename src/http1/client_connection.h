// One outgoing HTTP/1.1 connection, which carries one exchange (a request and
// its response) at a time.
//
// Unlike the client of the HTTP library that src/http wraps, it never resends a
// request by itself, keeps a read pending so that a close or unexpected bytes
// are detected when they arrive, and tells a response that is delimited by the
// end of the connection from a truncated one.
//
// Steps of an exchange:
//   1. Connect, unless the connection is open.
//   2. Write the request.
//   3. Read responses until one belongs to the request; others are discarded.
//      Each response is judged in one place (Judge()) before anything of it is
//      used. One that is spliced from two (SpliceDetector), or that `match`
//      rejects, ends the exchange as malformed. So does one that does not say
//      which request it belongs to on a connection that has carried another
//      request, since a server may send a response a second time.
//   4. Report the response once. Keep the connection if both sides allow it and
//      the whole request has been written.
//
// Bytes behind a whole response belong to no request. They end the connection,
// but do not invalidate that response.
//
// A server in trouble may send without end, in any part of a message or between
// messages. What an exchange may receive is counted where the socket is read,
// so one limit holds for all of it; responses that are discarded are limited in
// number as well, since parsing them costs more than their bytes.
//
// All calls and callbacks run on the thread of the socket's executor.

#ifndef MEDLARSPREAD_HTTP1_CLIENT_CONNECTION_H_
#define MEDLARSPREAD_HTTP1_CLIENT_CONNECTION_H_

#include <array>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>

#include "src/base/boot_timer.h"
#include "src/base/clock.h"
#include "src/base/result.h"
#include "src/http1/message.h"
#include "src/http1/splice_detector.h"

namespace medlarspread::http1 {

// Why an exchange ended without a response.
struct ExchangeFailure {
  base::Error error;
  // Whether a byte of the request may have reached the peer.
  bool was_sent = false;
};

using ExchangeResult = std::variant<Response, ExchangeFailure>;

// Whether a response belongs to the request that awaits one.
enum class ResponseMatch {
  kYes,
  // It belongs to an earlier request.
  kNo,
  // It does not say.
  kUnknown,
  // It contradicts itself or contains what the server cannot have meant.
  kInvalid,
};

struct Exchange {
  // Only `will_write` may modify the request until the exchange has ended.
  std::shared_ptr<Request> request;
  // Called right before the request is written, to set fields that depend on
  // the time: connecting first may take most of a second. May be empty.
  std::function<void(Request&)> will_write;
  std::function<ResponseMatch(const Response&)> match;
  // Called once.
  std::function<void(ExchangeResult)> done;
};

class ClientConnection : public std::enable_shared_from_this<ClientConnection> {
 public:
  struct Settings {
    boost::asio::ip::tcp::endpoint peer;
    base::Duration connect_timeout = base::Milliseconds(1'000);
    // The connection is closed if the peer's host sends nothing, not even
    // acknowledgements, for this long; see SetSocketOptions().
    base::Duration silence_timeout = base::Milliseconds(2'000);
    // Limit on all bytes received for one exchange: the response with its
    // header, and what precedes it. A read counts as at least kMinReadCharge.
    std::size_t max_response_bytes = 16 << 20;
    // Called when the connection becomes free or is closed.
    std::function<void(ClientConnection&)> did_change;
  };

  ClientConnection(boost::asio::io_context& context, Settings settings);

  // Connects without an exchange, so that the next one needn't wait for that.
  void Preconnect();
  // Starts an exchange. The connection must be free.
  void Start(Exchange exchange);
  // Cancels the exchange and closes the connection; `done` is not called.
  void Abort();
  // Closes the connection. An exchange in progress fails.
  void Close();

  // A read of a few bytes costs as much time as one of this size.
  static constexpr std::size_t kMinReadCharge = 512;
  // Limit on the interim responses and those to other requests that an exchange
  // discards.
  static constexpr int kMaxDiscardedResponses = 16;

  bool is_free() const { return !exchange_ && !is_closed_ && !is_writing_; }
  bool is_open() const { return is_open_ && !is_closed_; }
  bool is_closed() const { return is_closed_; }
  // Until when the peer keeps an idle connection open, if its last response had
  // a Keep-Alive field.
  std::optional<base::MonotonicTime> idle_until() const { return idle_until_; }

 private:
  using Parser =
      boost::beast::http::response_parser<boost::beast::http::string_body>;

  void Connect();
  void DidConnect(const boost::system::error_code& error);
  void Write();
  void Read();
  void DidRead(const boost::system::error_code& error, std::size_t size);
  void Parse();
  void StartParser();
  // The last byte of a response has been parsed.
  void DidParse();
  // Whether no bytes that may still come can change the verdict on the parsed
  // response.
  bool CanJudge() const;
  // Judges the parsed response when nothing has followed it for a while.
  void JudgeLater();
  // Decides whether the parsed response is the answer to the request.
  void Judge();
  void Accept(Response response, ResponseMatch match);
  // Goes on with the next response.
  void Discard();
  // These end the exchange and the connection.
  void FailAsMalformed(const std::string& detail);
  void FailAsSpliced();
  void FailOverLimit(const std::string& limit);
  void DidEnd(const boost::system::error_code& error);
  void UpdateIdleUntil(const Response& response);
  void Fail(base::ErrorCode code, const std::string& detail);
  void Finish(ExchangeResult result);
  std::string peer_name() const;

  boost::asio::io_context& context_;
  const Settings settings_;
  boost::asio::ip::tcp::socket socket_;
  base::BootTimer connect_timer_;
  base::BootTimer judge_timer_;
  boost::beast::flat_buffer buffer_;
  std::unique_ptr<Parser> parser_;
  // Covers the bytes that `parser_` has consumed.
  SpliceDetector splices_;
  // A response that is parsed but not judged. While it is set, `buffer_` holds
  // the bytes behind it and nothing is parsed.
  std::optional<Response> parsed_;
  std::optional<Exchange> exchange_;
  bool is_connecting_ = false;
  // Invariant: an open connection always has exactly one read pending.
  bool is_open_ = false;
  bool is_closed_ = false;
  // Whether no more bytes can be received.
  bool has_ended_ = false;
  bool is_writing_ = false;
  bool was_sent_ = false;
  // The number of exchanges that were started.
  std::int64_t exchanges_ = 0;
  // What the exchange has received, and what of its limit that has used up.
  std::size_t received_bytes_ = 0;
  std::size_t charged_bytes_ = 0;
  int discarded_responses_ = 0;
  // Whether the connection can't be reused after this response.
  bool should_close_ = false;
  std::optional<base::MonotonicTime> idle_until_;
};

}  // namespace medlarspread::http1

#endif  // MEDLARSPREAD_HTTP1_CLIENT_CONNECTION_H_
