// The client and the listener over loopback: body limits, timeouts and refused
// connections.

#include <future>
#include <thread>

#include <gtest/gtest.h>

#include "src/http/client.h"
#include "src/http/listener.h"

namespace medlarspread::http {
namespace {

base::Result<Response> SendAndWait(Client& client,
                                   const Request& request,
                                   base::Duration timeout) {
  auto promise = std::make_shared<std::promise<base::Result<Response>>>();
  auto future = promise->get_future();
  client.Send(request, timeout, [promise](base::Result<Response> result) {
    promise->set_value(std::move(result));
  });
  return future.get();
}

class ExchangeTest : public testing::Test {
 protected:
  static constexpr base::Duration kLongTimeout = base::Milliseconds(20000);

  base::TaskRunner timers_{TrafficContext()};
};

TEST_F(ExchangeTest, CarriesRequestAndResponse) {
  Listener listener({.address = "127.0.0.1:0"}, [](const Request& request,
                                                   const Responder& respond) {
    Response response;
    response.body = request.method + " " + request.path + " " +
                    request.parameters.at("a") + " " + request.body;
    response.headers["Retry-After"] = "3";
    respond(response);
  });
  ASSERT_TRUE(listener.Open().is_ok());
  Client client({.address = listener.address()}, timers_);
  const auto result = SendAndWait(client,
                                  {.method = "PUT",
                                   .path = "/x/y",
                                   .parameters = {{"a", "b c"}},
                                   .headers = {},
                                   .body = "hello"},
                                  kLongTimeout);
  ASSERT_TRUE(result.is_ok()) << result.error().ToString();
  EXPECT_EQ(result.value().status, kOk);
  EXPECT_EQ(result.value().body, "PUT /x/y b c hello");
  EXPECT_EQ(result.value().headers.at("retry-after"), "3");
}

TEST_F(ExchangeTest, RefusesOversizedBody) {
  Listener listener(
      {.address = "127.0.0.1:0", .max_body_bytes = 10},
      [](const Request&, const Responder& respond) { respond({}); });
  ASSERT_TRUE(listener.Open().is_ok());
  Client client({.address = listener.address()}, timers_);
  const auto result = SendAndWait(client,
                                  {.method = "POST",
                                   .path = "/",
                                   .parameters = {},
                                   .headers = {},
                                   .body = "0123456789A"},
                                  kLongTimeout);
  ASSERT_TRUE(result.is_ok()) << result.error().ToString();
  EXPECT_EQ(result.value().status, kPayloadTooLarge);
}

TEST_F(ExchangeTest, ReportsUnreachableAndTimeoutApart) {
  std::string closed_address;
  {
    Listener listener(
        {.address = "127.0.0.1:0"},
        [](const Request&, const Responder& respond) { respond({}); });
    ASSERT_TRUE(listener.Open().is_ok());
    closed_address = listener.address();
  }
  Client closed_client({.address = closed_address}, timers_);
  const auto refused = SendAndWait(closed_client, {}, kLongTimeout);
  ASSERT_FALSE(refused.is_ok());
  EXPECT_EQ(refused.error().code, base::ErrorCode::kUnreachable)
      << refused.error().ToString();
  EXPECT_EQ(refused.error().peer, closed_address);

  std::promise<Responder> kept;
  Listener silent({.address = "127.0.0.1:0"},
                  [&kept](const Request&, Responder respond) {
                    kept.set_value(std::move(respond));
                  });
  ASSERT_TRUE(silent.Open().is_ok());
  Client client({.address = silent.address()}, timers_);
  const auto late = SendAndWait(client, {}, base::Milliseconds(50));
  ASSERT_FALSE(late.is_ok());
  EXPECT_EQ(late.error().code, base::ErrorCode::kTimeout);
  EXPECT_EQ(client.in_flight(), 1);
  kept.get_future().get()({});
}

TEST_F(ExchangeTest, StoppedListenerServesOpenConnectionsOnly) {
  Listener listener(
      {.address = "127.0.0.1:0"},
      [](const Request&, const Responder& respond) { respond({}); });
  ASSERT_TRUE(listener.Open().is_ok());
  Client client({.address = listener.address()}, timers_);
  ASSERT_TRUE(SendAndWait(client, {}, kLongTimeout).is_ok());
  // The connection returns to the client's pool only after the callback.
  while (client.in_flight() > 0) {
    std::this_thread::yield();
  }
  listener.StopAccepting();
  // The open connection serves one more request and is then closed.
  const auto last = SendAndWait(client, {}, kLongTimeout);
  ASSERT_TRUE(last.is_ok()) << last.error().ToString();
  EXPECT_EQ(last.value().headers.at("connection"), "close");
  const auto refused = SendAndWait(client, {}, kLongTimeout);
  ASSERT_FALSE(refused.is_ok());
  EXPECT_EQ(refused.error().code, base::ErrorCode::kUnreachable);
}

}  // namespace
}  // namespace medlarspread::http
