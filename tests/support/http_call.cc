// Calls through http::Client, one client per address.

#include "tests/support/http_call.h"

#include <memory>
#include <mutex>

#include "src/http/client.h"
#include "src/http/listener.h"

namespace medlarspread::tests {

namespace {

constexpr base::Duration kTimeout = base::Milliseconds(20000);

std::shared_ptr<http::Client> ClientFor(const std::string& address) {
  static std::mutex mutex;
  // NOTE: never destroyed. The HTTP library's threads end before statics that
  // were initialized earlier are destroyed, and a client must not outlive those
  // threads.
  static auto& clients =
      *new std::map<std::string, std::shared_ptr<http::Client>>;
  const std::lock_guard lock(mutex);
  std::shared_ptr<http::Client>& client = clients[address];
  if (!client) {
    client = std::make_shared<http::Client>(
        http::ClientSettings{.address = address},
        base::TaskRunner(http::TrafficContext()));
  }
  return client;
}

}  // namespace

std::future<base::Result<http::Response>> StartCall(const Call& call) {
  auto promise = std::make_shared<std::promise<base::Result<http::Response>>>();
  http::Request request;
  request.method = call.method;
  request.path = call.path;
  request.parameters = call.parameters;
  request.headers = call.headers;
  request.body = call.body;
  auto client = ClientFor(call.address);
  client->Send(request, kTimeout,
               [promise, client](base::Result<http::Response> result) {
                 promise->set_value(std::move(result));
               });
  return promise->get_future();
}

http::Response AwaitCall(const Call& call) {
  const auto result = StartCall(call).get();
  if (result.is_ok()) {
    return result.value();
  }
  http::Response failure;
  failure.status = 0;
  failure.body = result.error().ToString();
  return failure;
}

}  // namespace medlarspread::tests
