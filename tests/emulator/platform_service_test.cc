// Tests the product's clients against the emulated platform over loopback: both
// sides must implement docs/INTERFACES.md consistently, also under faults.

#include <future>

#include <gtest/gtest.h>

#include "emulator/platform/platform_service.h"
#include "src/http/client.h"
#include "src/http/listener.h"
#include "src/store/store_client.h"
#include "src/store/vm_list_client.h"

namespace medlarspread::emulator {
namespace {

constexpr base::Duration kLong = base::Milliseconds(20000);
constexpr base::Duration kShort = base::Milliseconds(100);

class PlatformServiceTest : public testing::Test {
 protected:
  void SetUp() override { ASSERT_TRUE(listener_.Open().is_ok()); }
  // Releases the calls that a fault holds.
  void TearDown() override { Control("faults", R"({"outage":"none"})"); }

  void Control(const std::string& call, const std::string& body) {
    http::Client client({.address = listener_.address()}, runner_);
    http::Request request;
    request.method = "POST";
    request.path = "/control/" + call;
    request.body = body;
    std::promise<bool> done;
    client.Send(
        request, kLong, [&done](const base::Result<http::Response>& result) {
          done.set_value(result.is_ok() && result.value().status == http::kOk);
        });
    EXPECT_TRUE(done.get_future().get());
  }

  // Waits for the result of a call that takes a callback as last argument.
  template <typename T, typename Call>
  static base::Result<T> Await(Call call) {
    auto promise = std::make_shared<std::promise<base::Result<T>>>();
    auto future = promise->get_future();
    call([promise](base::Result<T> result) {
      promise->set_value(std::move(result));
    });
    return future.get();
  }

  base::Result<std::int64_t> Swap(const std::string& value,
                                  std::int64_t expected_version,
                                  base::Duration timeout) {
    return Await<std::int64_t>([&](const auto& callback) {
      store().compare_and_swap("a/b", value, expected_version, timeout,
                               callback);
    });
  }
  base::Result<std::optional<store::Entry>> Read() {
    return Await<std::optional<store::Entry>>(
        [&](const auto& callback) { store().read("a/b", kLong, callback); });
  }
  store::Store store() {
    if (!client_) {
      client_ = std::make_unique<store::StoreClient>(
          store::StoreClientSettings{.address = listener_.address()}, runner_);
    }
    return client_->store();
  }

  base::TaskRunner runner_{http::TrafficContext()};
  std::shared_ptr<PlatformService> service_ = std::make_shared<PlatformService>(
      CallRates{},
      base::Clock(),
      base::TaskRunner(http::TrafficContext()));
  http::Listener listener_{
      {.address = "127.0.0.1:0"},
      [this](const http::Request& request, http::Responder respond) {
        service_->DidReceive(request, std::move(respond));
      }};
  std::unique_ptr<store::StoreClient> client_;
};

TEST_F(PlatformServiceTest, ReadsWritesListsAndErases) {
  EXPECT_FALSE(Read().value());
  const auto version = Swap("x \"quoted\"", store::kAbsent, kLong);
  ASSERT_TRUE(version.is_ok()) << version.error().ToString();
  EXPECT_EQ(Read().value()->value, "x \"quoted\"");
  const auto conflict = Swap("y", store::kAbsent, kLong);
  ASSERT_FALSE(conflict.is_ok());
  EXPECT_EQ(conflict.error().code, base::ErrorCode::kConflict);
  const auto list = Await<std::vector<store::Entry>>(
      [&](const auto& callback) { store().list("a/", kLong, callback); });
  EXPECT_EQ(list.value().size(), 1U);
  const auto erased = Await<base::Done>([&](const auto& callback) {
    store().erase("a/b", version.value(), kLong, callback);
  });
  EXPECT_TRUE(erased.is_ok());
  EXPECT_FALSE(Read().value());
}

TEST_F(PlatformServiceTest, WakesAWatchAndEndsItWithItsWait) {
  std::promise<base::Result<std::optional<store::Entry>>> woken;
  store().watch("a/b", 0, kLong,
                [&woken](auto result) { woken.set_value(std::move(result)); });
  const std::int64_t version = Swap("x", store::kAbsent, kLong).value();
  EXPECT_EQ(woken.get_future().get().value()->version, version);
  const auto ended =
      Await<std::optional<store::Entry>>([&](const auto& callback) {
        store().watch("a/b", version, kShort, callback);
      });
  ASSERT_TRUE(ended.is_ok()) << ended.error().ToString();
  EXPECT_FALSE(ended.value());
}

TEST_F(PlatformServiceTest, LosesTheReplyOfAWriteThatTookEffect) {
  Control("faults", R"({"lose_write_replies":1,"key_prefix":"a/"})");
  const auto lost = Swap("x", store::kAbsent, kShort);
  ASSERT_FALSE(lost.is_ok());
  EXPECT_EQ(lost.error().code, base::ErrorCode::kUnknownOutcome);
  EXPECT_EQ(Read().value()->value, "x");
  Control("faults", R"({"fail_writes":1})");
  const auto failed = Swap("y", Read().value()->version, kLong);
  ASSERT_FALSE(failed.is_ok());
  EXPECT_EQ(failed.error().code, base::ErrorCode::kUnknownOutcome);
  EXPECT_EQ(Read().value()->value, "x");
}

TEST_F(PlatformServiceTest, RefusesOrHangsDuringAnOutage) {
  Control("faults", R"({"outage":"refuse"})");
  EXPECT_EQ(Read().error().code, base::ErrorCode::kUnavailable);
  Control("faults", R"({"outage":"hang"})");
  const auto hung = Swap("x", store::kAbsent, kShort);
  EXPECT_EQ(hung.error().code, base::ErrorCode::kUnknownOutcome);
  Control("faults", R"({"outage":"none"})");
  EXPECT_FALSE(Read().value())
      << "a write during a hanging outage must have no effect";
}

TEST_F(PlatformServiceTest, MergesAndListsVms) {
  const auto row = [](const std::string& name, const std::string& state) {
    return R"({"name":")" + name +
           R"(","role":"upstream","address":"127.0.0.1:1","region":"r1",)"
           R"("failure_domain":"r1a","collection":"main","state":")" +
           state + "\"}";
  };
  Control("vms",
          R"({"vms":[)" + row("a", "live") + "," + row("b", "live") + "]}");
  Control("vms",
          R"({"vms":[)" + row("a", "gone") + "," + row("b", "leaving") + "]}");
  Control("vms", R"({"vms":[)" + row("c", "live") + R"(],"lag_ms":100000})");
  const store::VmListClient client({.address = listener_.address()}, runner_);
  const auto vms = Await<std::vector<store::Vm>>(
      [&](const auto& callback) { client.read_vm_list()(kLong, callback); });
  ASSERT_TRUE(vms.is_ok()) << vms.error().ToString();
  ASSERT_EQ(vms.value().size(), 1U);
  EXPECT_EQ(vms.value()[0].name, "b");
  EXPECT_TRUE(vms.value()[0].is_leaving);
}

}  // namespace
}  // namespace medlarspread::emulator
