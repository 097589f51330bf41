// The server side of one HTTP/1.1 connection.
//
// It keeps a read pending even while a request is being processed, so that a
// disconnect is detected at once and the request is abandoned. Pipelined
// requests wait in the buffer and are served one after the other.
//
// All calls and callbacks run on the thread of the socket's executor.

#ifndef MEDLARSPREAD_HTTP1_CALLER_CONNECTION_H_
#define MEDLARSPREAD_HTTP1_CALLER_CONNECTION_H_

#include <functional>
#include <memory>
#include <string>

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>

#include "src/base/clock.h"
#include "src/http1/message.h"

namespace medlarspread::http1 {

// Sends the response. Call once; ignored if the caller has disconnected.
using Respond = std::function<void(Response)>;
// Cancels the processing of a request whose caller has disconnected. Called at
// most once, instead of a response.
using Abandon = std::function<void()>;
// Starts processing a request and returns how to cancel it.
using HandleRequest = std::function<Abandon(Request, Respond)>;

class CallerConnection : public std::enable_shared_from_this<CallerConnection> {
 public:
  struct Settings {
    // Called for each request, because the limits may change at run time.
    std::function<MessageLimits()> limits;
    HandleRequest handle;
    // Whether to close the connection after the next response.
    std::function<bool()> should_close;
    std::function<void(CallerConnection&)> did_close;
  };

  CallerConnection(boost::asio::ip::tcp::socket socket,
                   std::shared_ptr<const Settings> settings,
                   base::Clock clock);

  void Start();
  // Ends the connection if a request header takes too long to arrive or the
  // connection is idle for too long. Must be called periodically.
  void CheckTimeouts();
  // Closes the connection unless a request is being received or processed.
  void CloseIfIdle();

  // Closes the connection at once. The request being processed continues, but
  // its response is dropped.
  void Close();

  bool is_busy() const { return state_ != State::kReading; }

 private:
  using Parser =
      boost::beast::http::request_parser<boost::beast::http::string_body>;

  enum class State { kReading, kWorking, kWriting };

  void Read();
  void DidRead(const boost::system::error_code& error, std::size_t size);
  void Parse();
  void StartParser();
  void SendContinueIfExpected();
  void DidParse();
  void DidFailToParse(const boost::system::error_code& error);
  void DidRespond(std::uint64_t request, Response response);
  void Refuse(Status status);
  void Write(Response response, bool should_close);
  void DidWrite(const boost::system::error_code& error, bool should_close);
  void DidDisconnect();

  boost::asio::ip::tcp::socket socket_;
  const std::shared_ptr<const Settings> settings_;
  const base::Clock clock_;
  boost::beast::flat_buffer buffer_;
  std::unique_ptr<Parser> parser_;
  State state_ = State::kReading;
  bool is_closed_ = false;
  bool is_read_pending_ = false;
  // Whether "100 Continue" was sent for the request in the parser.
  bool sent_continue_ = false;
  bool is_keep_alive_ = true;
  bool is_head_ = false;
  // The number of the current request, so that a late response to an earlier
  // request is not sent as the response to this one.
  std::uint64_t request_ = 0;
  Abandon abandon_;
  base::MonotonicTime last_activity_;
  // When the first byte of the request in the parser arrived.
  base::MonotonicTime request_start_;
};

}  // namespace medlarspread::http1

#endif  // MEDLARSPREAD_HTTP1_CALLER_CONNECTION_H_
