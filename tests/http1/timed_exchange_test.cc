// An exchange with a response, with a timeout, with a failure and without a
// connection.

#include "src/http1/timed_exchange.h"

#include <optional>

#include <gtest/gtest.h>

#include "src/http1/caller_listener.h"

namespace medlarspread::http1 {
namespace {

using base::ErrorCode;
using base::Milliseconds;

class TimedExchangeTest : public testing::Test {
 protected:
  void SetUp() override {
    CallerListener::Settings settings;
    settings.address = "127.0.0.1:0";
    settings.limits = [] { return MessageLimits{}; };
    settings.handle = [this](const Request&, Respond respond) -> Abandon {
      if (is_silent_) {
        return [this] { ++abandoned_; };
      }
      Response response(Status::accepted, 11);
      response.prepare_payload();
      respond(std::move(response));
      return [] {};
    };
    listener_ = std::make_shared<CallerListener>(context_, std::move(settings),
                                                 base::Clock());
    ASSERT_TRUE(listener_->Open().is_ok());
  }

  std::shared_ptr<ClientConnection> Connect() {
    ClientConnection::Settings settings;
    settings.peer =
        ParseEndpoint("127.0.0.1:" + std::to_string(listener_->port())).value();
    settings.did_change = [](ClientConnection&) {};
    return std::make_shared<ClientConnection>(context_, std::move(settings));
  }

  base::Result<Response> Exchange(
      const std::shared_ptr<ClientConnection>& connection) {
    std::optional<base::Result<Response>> result;
    TimedExchange exchange;
    exchange.request =
        std::make_shared<Request>(boost::beast::http::verb::get, "/", 11);
    exchange.timeout = Milliseconds(is_silent_ ? 30 : 10'000);
    exchange.step = base::Step::kReadStore;
    exchange.peer = "the peer";
    exchange.done = [&result](base::Result<Response> ended) {
      EXPECT_FALSE(result.has_value()) << "ended twice";
      result = std::move(ended);
    };
    StartTimedExchange(connection, runner_, std::move(exchange));
    EXPECT_FALSE(result.has_value()) << "ended inside the call";
    while (!result) {
      context_.run_one();
    }
    return *result;
  }

  boost::asio::io_context context_;
  const base::TaskRunner runner_{context_};
  std::shared_ptr<CallerListener> listener_;
  bool is_silent_ = false;
  int abandoned_ = 0;
};

TEST_F(TimedExchangeTest, EndsWithTheResponse) {
  const auto result = Exchange(Connect());
  ASSERT_TRUE(result.is_ok());
  EXPECT_EQ(result.value().result(), Status::accepted);
}

TEST_F(TimedExchangeTest, ASilentPeerIsGivenUpWithItsConnection) {
  is_silent_ = true;
  const auto connection = Connect();
  const auto result = Exchange(connection);
  ASSERT_FALSE(result.is_ok());
  EXPECT_EQ(result.error().code, ErrorCode::kTimeout);
  EXPECT_EQ(result.error().step, base::Step::kReadStore);
  EXPECT_EQ(result.error().peer, "the peer");
  EXPECT_TRUE(connection->is_closed());
  while (abandoned_ == 0) {
    context_.run_one();
  }
}

TEST_F(TimedExchangeTest, AFailureCarriesTheStep) {
  const auto connection = Connect();
  listener_->StopAccepting();
  const auto result = Exchange(connection);
  ASSERT_FALSE(result.is_ok());
  EXPECT_EQ(result.error().step, base::Step::kReadStore);
}

TEST_F(TimedExchangeTest, WithoutAConnectionItSaysSoLater) {
  const auto result = Exchange(nullptr);
  ASSERT_FALSE(result.is_ok());
  EXPECT_EQ(result.error().code, ErrorCode::kInvalidArgument);
}

}  // namespace
}  // namespace medlarspread::http1
