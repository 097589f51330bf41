// Implements http::Listener with the HTTP library's listener.

#include "src/http/listener.h"

#include <atomic>
#include <thread>
#include <utility>

#include <cpprest/http_listener.h>
#include <pplx/threadpool.h>

#include <boost/asio/ip/tcp.hpp>
#include "src/base/task_runner.h"
#include "src/http/listening_socket.h"

namespace medlarspread::http {

namespace {

using base::ErrorCode;
using base::Step;
using web::http::experimental::listener::http_listener;

constexpr int kOpenAttempts = 20;
constexpr auto kCloseInterval = std::chrono::milliseconds(5);

// The library can't report which port the system chose for port 0, so this
// finds a free one first. Another process may take it before the library binds
// it, so Open() retries.
std::string PickFreePort(const std::string& host) {
  boost::asio::io_context context;
  boost::asio::ip::tcp::acceptor acceptor(
      context, {boost::asio::ip::make_address(host), 0});
  return std::to_string(acceptor.local_endpoint().port());
}

Request FromLibraryRequest(const web::http::http_request& message) {
  Request request;
  request.method = message.method();
  request.path = web::uri::decode(message.relative_uri().path());
  for (const auto& [name, value] :
       web::uri::split_query(message.relative_uri().query())) {
    request.parameters[name] = web::uri::decode(value);
  }
  for (const auto& [name, value] : message.headers()) {
    std::string key = name;
    for (char& letter : key) {
      letter = static_cast<char>(std::tolower(letter));
    }
    request.headers[key] = value;
  }
  return request;
}

// Shared by a listener and its exchanges, which may outlive it.
struct ListenerCounts {
  std::atomic<int> in_flight = 0;
  std::atomic<bool> is_closing = false;
};

// One request from its arrival to its response, kept alive by the callbacks
// that refer to it.
class Exchange : public std::enable_shared_from_this<Exchange> {
 public:
  Exchange(const web::http::http_request& message,
           std::shared_ptr<ListenerCounts> counts)
      : message_(message), counts_(std::move(counts)) {
    ++counts_->in_flight;
  }

  void Reply(Response response) {
    if (is_answered_.exchange(true)) {
      return;
    }
    web::http::http_response reply(
        static_cast<web::http::status_code>(response.status));
    reply.set_body(std::move(response.body), response.content_type);
    for (const auto& [name, value] : response.headers) {
      reply.headers()[name] = value;
    }
    if (counts_->is_closing) {
      reply.headers()["Connection"] = "close";
    }
    message_.reply(reply).then(
        [self = shared_from_this()](pplx::task<void> task) {
          --self->counts_->in_flight;
          try {
            task.get();
          } catch (const std::exception&) {
            // The caller has disconnected, so the response can't be delivered.
          }
        });
  }

  void Fail(int status, const std::string& detail) {
    Reply({status, {}, R"({"error":")" + detail + "\"}", "application/json"});
  }

  const web::http::http_request& message() const { return message_; }

 private:
  web::http::http_request message_;
  std::shared_ptr<ListenerCounts> counts_;
  std::atomic<bool> is_answered_ = false;
};

}  // namespace

void InitializeTrafficThreads(int count) {
  crossplat::threadpool::initialize_with_threads(
      static_cast<std::size_t>(count));
}

boost::asio::io_context& TrafficContext() {
  return crossplat::threadpool::shared_instance().service();
}

class Listener::Impl {
 public:
  Impl(ListenerSettings settings, Handler handler)
      : settings_(std::move(settings)),
        handler_(std::move(handler)),
        timers_(TrafficContext()) {}

  base::Status Open();
  void StopAccepting();
  void Close();
  const std::string& address() const { return address_; }
  int in_flight() const { return counts_->in_flight.load(); }

 private:
  void DidReceive(const web::http::http_request& message);
  void ReadBody(const std::shared_ptr<Exchange>& exchange);

  const ListenerSettings settings_;
  const Handler handler_;
  const base::TaskRunner timers_;
  std::string address_;
  std::unique_ptr<http_listener> listener_;
  std::shared_ptr<ListenerCounts> counts_ = std::make_shared<ListenerCounts>();
};

base::Status Listener::Impl::Open() {
  const auto colon = settings_.address.rfind(':');
  if (colon == std::string::npos) {
    return base::MakeError(ErrorCode::kInvalidArgument, Step::kListen,
                           settings_.address, "the address has no port");
  }
  const std::string host = settings_.address.substr(0, colon);
  const std::string port = settings_.address.substr(colon + 1);
  const bool is_any_port = port == "0";
  std::string detail;
  for (int attempt = 0; attempt < (is_any_port ? kOpenAttempts : 1);
       ++attempt) {
    try {
      address_ = host + ":" + (is_any_port ? PickFreePort(host) : port);
      listener_ = std::make_unique<http_listener>("http://" + address_ + "/");
      listener_->support([this](const web::http::http_request& message) {
        DidReceive(message);
      });
      listener_->open().wait();
      return base::Done{};
    } catch (const std::exception& failure) {
      detail = failure.what();
      listener_.reset();
    }
  }
  return base::MakeError(ErrorCode::kUnavailable, Step::kListen,
                         settings_.address, detail);
}

void Listener::Impl::StopAccepting() {
  counts_->is_closing = true;
  ShutDownListeningSocket(address_);
}

void Listener::Impl::Close() {
  if (!listener_) {
    return;
  }
  while (counts_->in_flight.load() > 0) {
    std::this_thread::sleep_for(kCloseInterval);
  }
  try {
    listener_->close().wait();
  } catch (const std::exception&) {
    // Errors don't matter: every request has been answered.
  }
  listener_.reset();
}

void Listener::Impl::DidReceive(const web::http::http_request& message) {
  auto exchange = std::make_shared<Exchange>(message, counts_);
  const auto length = message.headers().content_length();
  if (length > settings_.max_body_bytes) {
    exchange->Fail(kPayloadTooLarge, "body too large");
    return;
  }
  ReadBody(exchange);
}

void Listener::Impl::ReadBody(const std::shared_ptr<Exchange>& exchange) {
  base::Timer timeout = timers_.After(settings_.body_timeout, [exchange] {
    exchange->Fail(kRequestTimeout, "body did not arrive in time");
  });
  auto message = exchange->message();
  message.extract_vector().then(
      [this, exchange,
       timeout](pplx::task<std::vector<unsigned char>> task) mutable {
        timeout.Cancel();
        try {
          const std::vector<unsigned char> body = task.get();
          if (body.size() > settings_.max_body_bytes) {
            exchange->Fail(kPayloadTooLarge, "body too large");
            return;
          }
          Request request = FromLibraryRequest(exchange->message());
          request.body.assign(body.begin(), body.end());
          handler_(request, [exchange](Response response) {
            exchange->Reply(std::move(response));
          });
        } catch (const std::exception&) {
          exchange->Fail(kBadRequest, "body could not be read");
        }
      });
}

Listener::Listener(ListenerSettings settings, Handler handler)
    : impl_(std::make_unique<Impl>(std::move(settings), std::move(handler))) {}

Listener::~Listener() {
  impl_->Close();
}

base::Status Listener::Open() {
  return impl_->Open();
}

void Listener::StopAccepting() {
  impl_->StopAccepting();
}

void Listener::Close() {
  impl_->Close();
}

const std::string& Listener::address() const {
  return impl_->address();
}

int Listener::in_flight() const {
  return impl_->in_flight();
}

}  // namespace medlarspread::http
