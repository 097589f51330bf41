// Implements http::Client with the HTTP library's client.

#include "src/http/client.h"

#include <atomic>
#include <cassert>
#include <utility>

#include <cpprest/http_client.h>
#include <cpprest/producerconsumerstream.h>

namespace medlarspread::http {

namespace {

using base::ErrorCode;
using web::http::http_exception;

// The library reports a refused or failed connection with these codes. After
// any other failure the request may already have been sent.
bool IsConnectFailure(const std::error_code& code) {
  return code == std::errc::connection_refused ||
         code == std::errc::host_unreachable ||
         code == std::errc::network_unreachable ||
         code == std::errc::address_not_available;
}

// A body that can be read only once. To resend a request, the library rewinds
// its body; if it can't, it reports the failure to the caller instead.
concurrency::streams::istream MakeNonRewindableBody(const std::string& body) {
  concurrency::streams::producer_consumer_buffer<std::uint8_t> buffer;
  // NOTE: both calls take effect immediately, so the tasks they return need no
  // wait. Waiting for the task of close() could deadlock: the library completes
  // it on another traffic thread, and all of these might be waiting. The
  // content length determines how much is read.
  buffer.putn_nocopy(reinterpret_cast<const std::uint8_t*>(body.data()),
                     body.size());
  buffer.close(std::ios_base::out);
  return buffer.create_istream();
}

web::http::http_request ToLibraryRequest(const Request& request) {
  web::http::http_request message(request.method);
  web::uri_builder uri(web::uri::encode_uri(request.path));
  for (const auto& [name, value] : request.parameters) {
    uri.append_query(name, value);
  }
  message.set_request_uri(uri.to_uri());
  for (const auto& [name, value] : request.headers) {
    message.headers().add(name, value);
  }
  if (request.is_sent_once) {
    assert(!request.body.empty());
    message.set_body(MakeNonRewindableBody(request.body), request.body.size(),
                     request.content_type);
  } else if (!request.body.empty()) {
    message.set_body(request.body, request.content_type);
  }
  return message;
}

// One request in flight, kept alive until the library has finished it. The
// callback runs once, for the reply or the timeout, whichever comes first.
class Exchange {
 public:
  Exchange(Client::Callback callback, base::TaskRunner runner)
      : callback_(std::move(callback)), runner_(std::move(runner)) {}

  void Finish(base::Result<Response> result) {
    if (is_finished_.exchange(true)) {
      return;
    }
    runner_.Post([callback = std::move(callback_),
                  result = std::move(result)]() mutable {
      callback(std::move(result));
    });
  }

  // Set before the request is sent; cancelled when the request ends.
  base::Timer deadline;

 private:
  std::atomic<bool> is_finished_ = false;
  Client::Callback callback_;
  base::TaskRunner runner_;
};

}  // namespace

class Client::Impl {
 public:
  Impl(ClientSettings settings, base::TaskRunner timers)
      : settings_(std::move(settings)),
        timers_(std::move(timers)),
        client_("http://" + settings_.address, MakeConfig()) {}

  static void Send(const std::shared_ptr<Impl>& self,
                   const Request& request,
                   base::Duration timeout,
                   Callback callback);

  int in_flight() const { return in_flight_.load(); }

 private:
  // Counts one request as in flight during its lifetime.
  class InFlightGuard {
   public:
    explicit InFlightGuard(std::shared_ptr<Impl> impl)
        : impl_(std::move(impl)) {
      ++impl_->in_flight_;
    }
    ~InFlightGuard() { --impl_->in_flight_; }
    InFlightGuard(const InFlightGuard&) = delete;
    InFlightGuard& operator=(const InFlightGuard&) = delete;

   private:
    const std::shared_ptr<Impl> impl_;
  };

  static web::http::client::http_client_config MakeConfig() {
    web::http::client::http_client_config config;
    // NOTE: this is the library's timeout for each read and only limits how
    // long a dead connection is kept. Request timeouts use Exchange::deadline.
    config.set_timeout(std::chrono::seconds(30));
    return config;
  }

  base::Error MakeError(ErrorCode code, std::string detail) const {
    return base::MakeError(code, settings_.step, settings_.address,
                           std::move(detail));
  }

  base::Result<Response> ReadResponse(
      const web::http::http_response& response,
      const std::vector<unsigned char>& body) const;
  base::Result<Response> ReadFailure() const;

  const ClientSettings settings_;
  const base::TaskRunner timers_;
  web::http::client::http_client client_;
  std::atomic<int> in_flight_ = 0;
};

base::Result<Response> Client::Impl::ReadResponse(
    const web::http::http_response& response,
    const std::vector<unsigned char>& body) const {
  if (body.size() > settings_.max_body_bytes) {
    return MakeError(ErrorCode::kTooLarge, "response body");
  }
  Response result;
  result.status = response.status_code();
  result.body.assign(body.begin(), body.end());
  result.content_type = response.headers().content_type();
  for (const auto& [name, value] : response.headers()) {
    std::string key = name;
    for (char& letter : key) {
      letter = static_cast<char>(std::tolower(letter));
    }
    result.headers[key] = value;
  }
  return result;
}

// Must be called inside a catch block.
base::Result<Response> Client::Impl::ReadFailure() const {
  try {
    throw;
  } catch (const http_exception& failure) {
    const bool is_connect = IsConnectFailure(failure.error_code());
    return MakeError(
        is_connect ? ErrorCode::kUnreachable : ErrorCode::kConnectionLost,
        failure.what());
  } catch (const std::exception& failure) {
    return MakeError(ErrorCode::kConnectionLost, failure.what());
  }
}

void Client::Impl::Send(const std::shared_ptr<Impl>& self,
                        const Request& request,
                        base::Duration timeout,
                        Callback callback) {
  auto exchange =
      std::make_shared<Exchange>(std::move(callback), self->timers_);
  // NOTE: the library returns the connection to its pool after it has completed
  // the task and before it destroys the request. The request must count as in
  // flight until then, so that the count limits the number of connections. Of
  // the objects passed to the library, only the progress handler lives that
  // long.
  const auto guard = std::make_shared<InFlightGuard>(self);
  web::http::http_request message = ToLibraryRequest(request);
  message.set_progress_handler(
      [guard](web::http::message_direction::direction, std::uint64_t) {});
  exchange->deadline = self->timers_.After(timeout, [self, exchange] {
    exchange->Finish(self->MakeError(ErrorCode::kTimeout, "no reply in time"));
  });
  // NOTE: the last continuation observes every exception of the task chain,
  // because an unobserved one would terminate the process.
  self->client_.request(message)
      .then([](web::http::http_response response) {
        return response.extract_vector().then(
            [response](std::vector<unsigned char> body) {
              return std::pair(response, std::move(body));
            });
      })
      .then([self,
             exchange](pplx::task<std::pair<web::http::http_response,
                                            std::vector<unsigned char>>> task) {
        exchange->deadline.Cancel();
        try {
          const auto [response, body] = task.get();
          exchange->Finish(self->ReadResponse(response, body));
        } catch (...) {
          exchange->Finish(self->ReadFailure());
        }
      });
}

Client::Client(ClientSettings settings, base::TaskRunner timers)
    : impl_(std::make_shared<Impl>(std::move(settings), std::move(timers))) {}

Client::~Client() = default;

void Client::Send(const Request& request,
                  base::Duration timeout,
                  Callback callback) {
  Impl::Send(impl_, request, timeout, std::move(callback));
}

int Client::in_flight() const {
  return impl_->in_flight();
}

}  // namespace medlarspread::http
