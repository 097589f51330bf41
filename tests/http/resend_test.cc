// The HTTP library resends a request if a server closes a reused connection
// without a reply. It must not do so with is_sent_once.

#include <atomic>
#include <future>
#include <string>
#include <thread>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/asio/write.hpp>

#include <gtest/gtest.h>

#include "src/http/client.h"
#include "src/http/listener.h"

namespace medlarspread::http {
namespace {

using boost::asio::ip::tcp;

constexpr char kBodyEnd[] = "#";

// Answers the first request, closes the connection on the second without a
// reply, and answers all later ones.
class ClosingServer {
 public:
  ClosingServer()
      : acceptor_(context_, {boost::asio::ip::address_v4::loopback(), 0}),
        thread_([this] { Run(); }) {}

  // The client must be destroyed first, so that no connection is open.
  ~ClosingServer() {
    is_stopping_ = true;
    boost::system::error_code ignored;
    tcp::socket wake(context_);
    wake.connect(acceptor_.local_endpoint(), ignored);
    wake.close(ignored);
    thread_.join();
  }

  std::string address() const {
    return "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port());
  }
  int requests() const { return requests_.load(); }

 private:
  void Run() {
    while (!is_stopping_) {
      tcp::socket socket = acceptor_.accept();
      Serve(socket);
    }
  }

  void Serve(tcp::socket& socket) {
    boost::system::error_code error;
    boost::asio::streambuf buffer;
    while (true) {
      const std::size_t size =
          boost::asio::read_until(socket, buffer, kBodyEnd, error);
      if (error) {
        return;
      }
      buffer.consume(size);
      constexpr int kUnanswered = 2;
      if (++requests_ == kUnanswered) {
        return;
      }
      const std::string reply = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
      boost::asio::write(socket, boost::asio::buffer(reply), error);
    }
  }

  boost::asio::io_context context_;
  tcp::acceptor acceptor_;
  std::atomic<int> requests_ = 0;
  std::atomic<bool> is_stopping_ = false;
  std::thread thread_;
};

base::Result<Response> SendOnce(Client& client) {
  Request request;
  request.method = "POST";
  request.path = "/v1/query";
  request.body = std::string("body") + kBodyEnd;
  request.is_sent_once = true;
  std::promise<base::Result<Response>> promise;
  client.Send(request, base::Milliseconds(20000),
              [&promise](base::Result<Response> result) {
                promise.set_value(std::move(result));
              });
  return promise.get_future().get();
}

// The library reports the result of a request before it returns the connection
// to its pool. A request sent in between would open a second connection, which
// this server, serving one connection at a time, would never read.
void AwaitFreeConnection(const Client& client) {
  while (client.in_flight() > 0) {
    std::this_thread::yield();
  }
}

TEST(ResendTest, RequestToBeSentOnceIsNotRepeated) {
  ClosingServer server;
  Client client({.address = server.address()},
                base::TaskRunner(TrafficContext()));
  const auto first = SendOnce(client);
  ASSERT_TRUE(first.is_ok()) << first.error().ToString();
  AwaitFreeConnection(client);
  const auto second = SendOnce(client);
  ASSERT_FALSE(second.is_ok());
  EXPECT_EQ(second.error().code, base::ErrorCode::kConnectionLost);
  EXPECT_EQ(server.requests(), 2);
}

}  // namespace
}  // namespace medlarspread::http
