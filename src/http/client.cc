// The HTTP library's client behind http::Client.

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

// The library reports a refused or failed connection with these codes; for
// every other failure the request may already have left.
bool IsConnectFailure(const std::error_code& code) {
  return code == std::errc::connection_refused ||
         code == std::errc::host_unreachable ||
         code == std::errc::network_unreachable ||
         code == std::errc::address_not_available;
}

// A body that can be read once only. The library repeats a request by rewinding
// its body and gives up if it can't: the failure is then reported to us.
concurrency::streams::istream MakeUnrepeatableBody(const std::string& body) {
  concurrency::streams::producer_consumer_buffer<std::uint8_t> buffer;
  // NOTE: both take effect within the call, and nothing waits for the tasks
  // they return: the library ends that of close() on another traffic thread,
  // so that waits on all of these would never end. The content length says
  // how much is read.
  buffer.putn_nocopy(reinterpret_cast<const std::uint8_t*>(body.data()),
                     body.size());
  buffer.close(std::ios_base::out);
  return buffer.create_istream();
}

web::http::http_request ToLibrary(const Request& request) {
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
    message.set_body(MakeUnrepeatableBody(request.body), request.body.size(),
                     request.content_type);
  } else if (!request.body.empty()) {
    message.set_body(request.body, request.content_type);
  }
  return message;
}

// One request in flight. It keeps itself alive until the library is done; the
// callback runs once, on whichever of reply and timeout comes first.
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

  // Written once before the request is sent; cancelled when it ends.
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
  // Counts one request for as long as it lives.
  class InFlightMark {
   public:
    explicit InFlightMark(std::shared_ptr<Impl> impl) : impl_(std::move(impl)) {
      ++impl_->in_flight_;
    }
    ~InFlightMark() { --impl_->in_flight_; }
    InFlightMark(const InFlightMark&) = delete;
    InFlightMark& operator=(const InFlightMark&) = delete;

   private:
    const std::shared_ptr<Impl> impl_;
  };

  static web::http::client::http_client_config MakeConfig() {
    web::http::client::http_client_config config;
    // NOTE: this is the library's timeout per read; the deadline of a request
    // is our own timer. It only bounds how long a dead connection is kept.
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
  // NOTE: the library gives the connection back after it has completed the
  // task and before it destroys the request, so the request counts as in
  // flight until then: only so does the count bound the connections. The
  // progress handler is the one thing of ours that lives as long.
  const auto mark = std::make_shared<InFlightMark>(self);
  web::http::http_request message = ToLibrary(request);
  message.set_progress_handler(
      [mark](web::http::message_direction::direction, std::uint64_t) {});
  exchange->deadline = self->timers_.After(timeout, [self, exchange] {
    exchange->Finish(self->MakeError(ErrorCode::kTimeout, "no reply in time"));
  });
  // NOTE: every exception of the task chain is observed in the last step; an
  // unobserved one would end the process.
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
