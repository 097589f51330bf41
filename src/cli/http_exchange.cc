// Blocks until the callback of http::Client is called.

#include "src/cli/http_exchange.h"

#include <future>
#include <memory>
#include <mutex>
#include <utility>

#include "src/http/client.h"
#include "src/http/listener.h"

namespace medlarspread::cli {

namespace {

// One thread reads, the other runs the timeout and the callback.
constexpr int kThreads = 2;

}  // namespace

base::Result<http::Response> SendAndWait(const std::string& address,
                                         const http::Request& request,
                                         base::Duration timeout) {
  static std::once_flag once;
  std::call_once(once, [] { http::InitializeTrafficThreads(kThreads); });
  http::Client client({.address = address, .step = base::Step::kReport},
                      base::TaskRunner(http::TrafficContext()));
  auto promise = std::make_shared<std::promise<base::Result<http::Response>>>();
  auto future = promise->get_future();
  client.Send(request, timeout, [promise](base::Result<http::Response> result) {
    promise->set_value(std::move(result));
  });
  return future.get();
}

}  // namespace medlarspread::cli
