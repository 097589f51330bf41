// Guards against a deadlock when requests are sent from all traffic threads at
// once: no send may block on work that another traffic thread must do.

#include <atomic>
#include <future>

#include <gtest/gtest.h>

#include <boost/asio/post.hpp>

#include "src/http/client.h"
#include "src/http/listener.h"

namespace medlarspread::http {
namespace {

constexpr int kRequests = 400;
constexpr base::Duration kLongTimeout = base::Milliseconds(60'000);
constexpr auto kTestTimeout = std::chrono::seconds(30);

TEST(BusyThreadsTest, RequestsToBeSentOnceDoNotBlockTheTrafficThreads) {
  Listener listener(
      {.address = "127.0.0.1:0"},
      [](const Request&, const Responder& respond) { respond({}); });
  ASSERT_TRUE(listener.Open().is_ok());
  // Shared, because callbacks may run after the wait has failed.
  struct Shared {
    explicit Shared(const std::string& address)
        : client({.address = address}, base::TaskRunner(TrafficContext())) {}
    Client client;
    std::atomic<int> left = kRequests;
    std::promise<void> done;
  };
  auto shared = std::make_shared<Shared>(listener.address());
  for (int index = 0; index < kRequests; ++index) {
    boost::asio::post(TrafficContext(), [shared] {
      Request request;
      request.method = "POST";
      request.body = "body";
      request.is_sent_once = true;
      shared->client.Send(request, kLongTimeout,
                          [shared](const base::Result<Response>&) {
                            if (--shared->left == 0) {
                              shared->done.set_value();
                            }
                          });
    });
  }
  ASSERT_EQ(shared->done.get_future().wait_for(kTestTimeout),
            std::future_status::ready)
      << shared->left << " requests are left";
}

}  // namespace
}  // namespace medlarspread::http
