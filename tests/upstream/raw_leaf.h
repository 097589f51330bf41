// A fake leaf that answers each request with the bytes given by a script, valid
// HTTP or not, and counts connections. Runs on one thread.

#ifndef MEDLARSPREAD_TESTS_UPSTREAM_RAW_LEAF_H_
#define MEDLARSPREAD_TESTS_UPSTREAM_RAW_LEAF_H_

#include <algorithm>
#include <atomic>
#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <utility>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/asio/write.hpp>

namespace medlarspread::upstream {

// Each request must end with the bytes `end_of_request` and not contain them
// earlier. Requests of LeafClient with the query "{}" end with "}}", those
// without a body with their blank line.
class RawLeaf {
 public:
  struct Reply {
    std::string bytes;
    bool should_close = false;
    // Sent behind `bytes` again and again, until the other side closes.
    std::string endless = {};
    // The pause before each of these; zero sends as fast as they are read.
    std::chrono::milliseconds pause{};
    // If positive, `bytes` are sent in pieces of this size.
    std::size_t piece_bytes = 0;
  };
  // `index` counts the requests on all connections, starting at 1.
  using Script = std::function<Reply(int index)>;

  explicit RawLeaf(Script script, std::string end_of_request = "}}")
      : script_(std::move(script)),
        end_of_request_(std::move(end_of_request)),
        acceptor_(context_, {boost::asio::ip::address_v4::loopback(), 0}) {
    Accept();
    thread_ = std::thread([this] { context_.run(); });
  }
  ~RawLeaf() {
    context_.stop();
    thread_.join();
  }
  RawLeaf(const RawLeaf&) = delete;
  RawLeaf& operator=(const RawLeaf&) = delete;

  std::string address() const {
    return "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port());
  }
  // Before each response, sends the last one on the same connection again.
  void set_repeats_responses(bool repeats) { repeats_responses_ = repeats; }
  int requests() const { return requests_; }
  // The bytes that were sent without end, on all connections.
  std::size_t endless_bytes() const { return endless_bytes_; }
  int open_connections() const { return open_; }
  // All connections so far.
  int connections() const { return accepted_; }
  int most_connections() const { return most_; }

  // A complete 200 response with the body.
  static std::string Ok(const std::string& body) {
    return "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
           "Content-Length: " +
           std::to_string(body.size()) + "\r\n\r\n" + body;
  }

 private:
  using Socket = boost::asio::ip::tcp::socket;
  struct Connection {
    explicit Connection(Socket accepted)
        : socket(std::move(accepted)), timer(socket.get_executor()) {}
    Socket socket;
    boost::asio::steady_timer timer;
    boost::asio::streambuf buffer;
    std::string reply;
    // The last reply without repetitions.
    std::string last;
  };

  void Accept() {
    acceptor_.async_accept(
        [this](const boost::system::error_code& error, Socket socket) {
          if (!error) {
            boost::system::error_code ignored;
            socket.set_option(boost::asio::ip::tcp::no_delay(true), ignored);
            ++accepted_;
            most_ = std::max(most_.load(), ++open_);
            Read(std::make_shared<Connection>(std::move(socket)));
            Accept();
          }
        });
  }

  void Read(const std::shared_ptr<Connection>& connection) {
    boost::asio::async_read_until(
        connection->socket, connection->buffer, end_of_request_,
        [this, connection](const boost::system::error_code& error,
                           std::size_t size) {
          if (error) {
            --open_;
            return;
          }
          connection->buffer.consume(size);
          Answer(connection, script_(++requests_));
        });
  }

  void Answer(const std::shared_ptr<Connection>& connection,
              const Reply& reply) {
    const std::string last = std::exchange(connection->last, reply.bytes);
    connection->reply = (repeats_responses_ ? last : "") + reply.bytes;
    SendPieces(connection, reply, 0);
  }

  void SendPieces(const std::shared_ptr<Connection>& connection,
                  const Reply& reply,
                  std::size_t sent) {
    const std::size_t left = connection->reply.size() - sent;
    const std::size_t size =
        reply.piece_bytes > 0 ? std::min(reply.piece_bytes, left) : left;
    boost::asio::async_write(
        connection->socket,
        boost::asio::buffer(connection->reply.data() + sent, size),
        [this, connection, reply, sent](const boost::system::error_code& error,
                                        std::size_t written) {
          if (!error && sent + written < connection->reply.size()) {
            SendPieces(connection, reply, sent + written);
          } else if (error || reply.should_close) {
            --open_;
          } else if (!reply.endless.empty()) {
            SendEndlessly(connection, reply);
          } else {
            Read(connection);
          }
        });
  }

  void SendEndlessly(const std::shared_ptr<Connection>& connection,
                     const Reply& reply) {
    connection->reply = reply.endless;
    boost::asio::async_write(
        connection->socket, boost::asio::buffer(connection->reply),
        [this, connection, reply](const boost::system::error_code& error,
                                  std::size_t size) {
          if (error) {
            --open_;
            return;
          }
          endless_bytes_ += size;
          connection->timer.expires_after(reply.pause);
          connection->timer.async_wait(
              [this, connection, reply](const boost::system::error_code&) {
                SendEndlessly(connection, reply);
              });
        });
  }

  const Script script_;
  const std::string end_of_request_;
  boost::asio::io_context context_;
  boost::asio::ip::tcp::acceptor acceptor_;
  std::atomic<bool> repeats_responses_ = false;
  std::atomic<int> requests_ = 0;
  std::atomic<std::size_t> endless_bytes_ = 0;
  std::atomic<int> accepted_ = 0;
  std::atomic<int> open_ = 0;
  std::atomic<int> most_ = 0;
  std::thread thread_;
};

}  // namespace medlarspread::upstream

#endif  // MEDLARSPREAD_TESTS_UPSTREAM_RAW_LEAF_H_
