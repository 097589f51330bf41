// StoreCalls with a store whose connections go silent.

#include "src/platform/store_calls.h"

#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <system_error>

#include <gtest/gtest.h>

#include "tests/upstream/raw_leaf.h"

namespace medlarspread::platform {
namespace {

using base::ErrorCode;
using base::Milliseconds;
using upstream::RawLeaf;

constexpr auto kTestTimeout = std::chrono::seconds(20);
constexpr base::Duration kCallTimeout = Milliseconds(300);

class StoreCallsTest : public testing::Test {
 protected:
  void Open(RawLeaf::Script script) {
    raw_ = std::make_unique<RawLeaf>(std::move(script), "\r\n\r\n");
    calls_ = std::make_unique<StoreCalls>(
        context_, base::TaskRunner(context_),
        StoreCallsSettings{raw_->address(), kCallTimeout}, [](std::int64_t) {},
        base::Log());
    source_ = calls_->source();
  }

  // Lists the store; absent if that succeeds.
  std::optional<std::error_code> List() {
    std::optional<base::Result<store::Page>> page;
    source_.list("", "", [&page](base::Result<store::Page> result) {
      page = std::move(result);
    });
    RunUntil([&page] { return page.has_value(); });
    return page->is_ok() ? std::nullopt
                         : std::optional<std::error_code>(page->error().code);
  }

  void RunUntil(const std::function<bool()>& is_done) {
    const auto end = std::chrono::steady_clock::now() + kTestTimeout;
    while (!is_done() && std::chrono::steady_clock::now() < end) {
      context_.restart();
      context_.run_one_for(std::chrono::milliseconds(10));
    }
    ASSERT_TRUE(is_done());
  }

  static RawLeaf::Reply Page() {
    return {RawLeaf::Ok(R"({"items":[],"current_rev":7})"), false};
  }

  boost::asio::io_context context_;
  std::unique_ptr<RawLeaf> raw_;
  std::unique_ptr<StoreCalls> calls_;
  store::EventSource source_;
};

TEST_F(StoreCallsTest, TellsASilentConnectionFromASilentStore) {
  Open([](int index) { return index == 1 ? Page() : RawLeaf::Reply{}; });
  EXPECT_EQ(List(), std::nullopt);
  EXPECT_EQ(List(), ErrorCode::kTimeout);
  EXPECT_EQ(List(), ErrorCode::kUnreachable);
}

TEST_F(StoreCallsTest, AWatchThatIsLostWhileItWaitsTellsNothing) {
  Open([](int) { return RawLeaf::Reply{}; });
  std::optional<std::error_code> error;
  source_.watch("", 0, kCallTimeout,
                [&error](const base::Result<store::Changes>& changes) {
                  error = changes.error().code;
                });
  RunUntil([&error] { return error.has_value(); });
  EXPECT_EQ(error, ErrorCode::kTimeout);
}

// Guards against a call that waits for an answer on a connection that went
// silent together with one that has failed already.
TEST_F(StoreCallsTest, TheCallAfterALostOneUsesANewConnection) {
  // The first two requests open a connection each; the third gets no answer.
  Open([](int index) { return index == 3 ? RawLeaf::Reply{} : Page(); });
  int answered = 0;
  for (int call = 0; call < 2; ++call) {
    source_.list("", "", [&answered](const base::Result<store::Page>& page) {
      answered += page.is_ok() ? 1 : 0;
    });
  }
  RunUntil([&answered] { return answered == 2; });
  EXPECT_EQ(raw_->open_connections(), 2);
  EXPECT_EQ(List(), ErrorCode::kTimeout);
  RunUntil([this] { return raw_->open_connections() == 0; });
  EXPECT_EQ(List(), std::nullopt);
  EXPECT_EQ(raw_->connections(), 3);
}

}  // namespace
}  // namespace medlarspread::platform
