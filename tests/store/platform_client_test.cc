// Tests the clients of the platform with a scripted HTTP service: which
// failures mean that a write was not made, and that malformed responses become
// errors.

#include <future>
#include <optional>
#include <utility>

#include <gtest/gtest.h>

#include "src/http/listener.h"
#include "src/store/store_client.h"
#include "src/store/vm_list_client.h"

namespace medlarspread::store {
namespace {

using base::ErrorCode;

constexpr base::Duration kLongTimeout = base::Milliseconds(20000);

// Runs `call` with a callback and waits for its result.
template <typename T, typename Call>
base::Result<T> Wait(Call call) {
  auto promise = std::make_shared<std::promise<base::Result<T>>>();
  auto future = promise->get_future();
  call([promise](base::Result<T> result) {
    promise->set_value(std::move(result));
  });
  return future.get();
}

class PlatformClientTest : public testing::Test {
 protected:
  PlatformClientTest()
      : listener_({.address = "127.0.0.1:0"},
                  [this](const http::Request& request,
                         const http::Responder& respond) {
                    last_request_ = request;
                    respond(next_response_);
                  }) {
    EXPECT_TRUE(listener_.Open().is_ok());
    store_ = StoreClient({.address = listener_.address()}, sequence_).store();
  }

  void Answer(int status, std::string body) {
    next_response_ = {status, {}, std::move(body), "application/json"};
  }

  base::Result<std::optional<Entry>> Read() {
    return Wait<std::optional<Entry>>([this](Store::ReadCallback callback) {
      store_.read("a/b", kLongTimeout, callback);
    });
  }
  base::Result<std::optional<Entry>> Watch() {
    return Wait<std::optional<Entry>>([this](Store::ReadCallback callback) {
      store_.watch("a/b", 4, base::Milliseconds(7), callback);
    });
  }
  base::Result<std::int64_t> Write(const Store& store, std::string value) {
    return Wait<std::int64_t>([&](Store::WriteCallback callback) {
      store.compare_and_swap("a/b", std::move(value), 4, kLongTimeout,
                             callback);
    });
  }

  base::TaskRunner sequence_{http::TrafficContext()};
  http::Response next_response_;
  http::Request last_request_;
  http::Listener listener_;
  Store store_;
};

TEST_F(PlatformClientTest, ReadsEntryAndAbsence) {
  Answer(200, R"({"key":"a/b","value":"x\"\u0001","version":7})");
  const auto entry = Read();
  ASSERT_TRUE(entry.is_ok()) << entry.error().ToString();
  EXPECT_EQ(entry.value(), (Entry{"a/b", "x\"\x01", 7}));
  EXPECT_EQ(last_request_.path, "/v1/kv/a/b");

  Answer(404, "{}");
  const auto absent = Read();
  ASSERT_TRUE(absent.is_ok()) << absent.error().ToString();
  EXPECT_FALSE(absent.value().has_value());
}

TEST_F(PlatformClientTest, MalformedReadsAreErrors) {
  for (const char* body : {"", "{", "[]", "7", R"({"key":"a/b","value":"x"})",
                           R"({"key":"a/b","value":3,"version":7})",
                           R"({"key":"a/b","value":"x","version":"7"})",
                           R"({"key":"a/b","value":"x","version":7.5})",
                           R"({"key":"a/b","value":"x","version":0})",
                           R"({"key":"other","value":"x","version":7})",
                           R"({"value":"\uD800"})"}) {
    Answer(200, body);
    const auto result = Read();
    ASSERT_FALSE(result.is_ok()) << body;
    EXPECT_EQ(result.error().code, ErrorCode::kMalformed) << body;
    EXPECT_EQ(result.error().step, base::Step::kReadStore);
    EXPECT_EQ(result.error().peer, listener_.address());
  }
}

TEST_F(PlatformClientTest, ReadsClassifyStatus) {
  Answer(429, "");
  EXPECT_EQ(Read().error().code, ErrorCode::kOverloaded);
  Answer(503, "");
  EXPECT_EQ(Read().error().code, ErrorCode::kUnavailable);
  Answer(418, "");
  EXPECT_EQ(Read().error().code, ErrorCode::kInternal);
}

TEST_F(PlatformClientTest, WatchPassesVersionAndReportsNothingNew) {
  Answer(204, "");
  const auto nothing = Watch();
  ASSERT_TRUE(nothing.is_ok()) << nothing.error().ToString();
  EXPECT_FALSE(nothing.value().has_value());
  EXPECT_EQ(last_request_.parameters.at("key"), "a/b");
  EXPECT_EQ(last_request_.parameters.at("after_version"), "4");
  EXPECT_EQ(last_request_.parameters.at("wait_ms"), "7");

  Answer(200, R"({"key":"a/b","value":"x","version":5})");
  const auto entry = Watch();
  ASSERT_TRUE(entry.is_ok()) << entry.error().ToString();
  EXPECT_EQ(entry.value()->version, 5);
}

TEST_F(PlatformClientTest, ListsEntries) {
  Answer(200, R"({"entries":[{"key":"p1","value":"","version":1}]})");
  const auto call = [this](Store::ListCallback callback) {
    store_.list("p", kLongTimeout, callback);
  };
  const auto entries = Wait<std::vector<Entry>>(call);
  ASSERT_TRUE(entries.is_ok()) << entries.error().ToString();
  EXPECT_EQ(entries.value(), (std::vector<Entry>{{"p1", "", 1}}));
  EXPECT_EQ(last_request_.parameters.at("prefix"), "p");

  Answer(200, R"({"entries":[{"key":"p1","value":"","version":1},{}]})");
  EXPECT_EQ(Wait<std::vector<Entry>>(call).error().code, ErrorCode::kMalformed);
}

TEST_F(PlatformClientTest, WritesTellNotMadeFromUnknown) {
  Answer(200, R"({"version":5})");
  const auto written = Write(store_, "\xC3\xA1\n");
  ASSERT_TRUE(written.is_ok()) << written.error().ToString();
  EXPECT_EQ(written.value(), 5);
  EXPECT_EQ(last_request_.method, "PUT");

  const std::vector<std::tuple<int, std::string, ErrorCode>> cases = {
      {409, R"({"version":9})", ErrorCode::kConflict},
      {429, "", ErrorCode::kOverloaded},
      {413, "", ErrorCode::kTooLarge},
      {400, "", ErrorCode::kInvalidArgument},
      {500, "", ErrorCode::kUnknownOutcome},
      {503, "", ErrorCode::kUnknownOutcome},
      {200, "{", ErrorCode::kUnknownOutcome},
      {200, R"({"version":"5"})", ErrorCode::kUnknownOutcome}};
  for (const auto& [status, body, code] : cases) {
    Answer(status, body);
    const auto result = Write(store_, "x");
    ASSERT_FALSE(result.is_ok()) << status << body;
    EXPECT_EQ(result.error().code, code) << status << body;
    EXPECT_EQ(result.error().step, base::Step::kWriteStore);
  }
}

TEST_F(PlatformClientTest, OversizedValueIsNotSent) {
  Answer(200, R"({"version":5})");
  const auto result = Write(store_, std::string(kMaxValueBytes + 1, 'x'));
  ASSERT_FALSE(result.is_ok());
  EXPECT_EQ(result.error().code, ErrorCode::kTooLarge);
  EXPECT_EQ(last_request_.path, "");
}

TEST_F(PlatformClientTest, RefusedConnectionMeansNotMade) {
  const std::string address = listener_.address();
  listener_.Close();
  const Store store = StoreClient({.address = address}, sequence_).store();
  EXPECT_EQ(Write(store, "x").error().code, ErrorCode::kUnreachable);
}

TEST_F(PlatformClientTest, WriteWithoutReplyIsUnknown) {
  std::promise<http::Responder> kept;
  http::Listener silent({.address = "127.0.0.1:0"},
                        [&kept](const http::Request&, http::Responder respond) {
                          kept.set_value(std::move(respond));
                        });
  ASSERT_TRUE(silent.Open().is_ok());
  const Store store =
      StoreClient({.address = silent.address()}, sequence_).store();
  const auto result = Wait<std::int64_t>([&](Store::WriteCallback callback) {
    store.compare_and_swap("k", "v", kAbsent, base::Milliseconds(50), callback);
  });
  EXPECT_EQ(result.error().code, ErrorCode::kUnknownOutcome);
  kept.get_future().get()({});
}

TEST_F(PlatformClientTest, EraseTellsAbsenceFromConflict) {
  const auto erase = [this] {
    return Wait<base::Done>([this](Store::EraseCallback callback) {
      store_.erase("a/b", 4, kLongTimeout, callback);
    });
  };
  Answer(200, "{}");
  EXPECT_TRUE(erase().is_ok());
  EXPECT_EQ(last_request_.method, "DELETE");
  EXPECT_EQ(last_request_.parameters.at("expected_version"), "4");
  Answer(404, "{}");
  EXPECT_EQ(erase().error().code, ErrorCode::kNotFound);
  Answer(409, R"({"version":9})");
  EXPECT_EQ(erase().error().code, ErrorCode::kConflict);
}

TEST_F(PlatformClientTest, ReadsVmList) {
  const VmListClient client({.address = listener_.address()}, sequence_);
  const auto read = [&client] {
    return Wait<std::vector<Vm>>([&client](VmListCallback callback) {
      client.read_vm_list()(kLongTimeout, callback);
    });
  };
  Answer(200, R"({"vms":[
    {"name":"e1","role":"entry","address":"127.0.0.1:1","region":"r",
     "failure_domain":"d","state":"live"},
    {"name":"u1","role":"upstream","address":"127.0.0.1:2","region":"r",
     "failure_domain":"d","state":"leaving","collection":"c","more":1}]})");
  const auto vms = read();
  ASSERT_TRUE(vms.is_ok()) << vms.error().ToString();
  ASSERT_EQ(vms.value().size(), 2U);
  EXPECT_EQ(vms.value()[0],
            (Vm{"e1", VmRole::kEntry, "127.0.0.1:1", "r", "d", false, ""}));
  EXPECT_EQ(vms.value()[1],
            (Vm{"u1", VmRole::kUpstream, "127.0.0.1:2", "r", "d", true, "c"}));

  for (const char* body :
       {"{", R"({"vms":7})", R"({"vms":[7]})", R"({"vms":[{"name":"e1"}]})",
        R"({"vms":[{"name":"e1","role":"other","address":"a","region":"r",
            "failure_domain":"d","state":"live"}]})"}) {
    Answer(200, body);
    EXPECT_EQ(read().error().code, ErrorCode::kMalformed) << body;
  }
  Answer(429, "");
  EXPECT_EQ(read().error().code, ErrorCode::kOverloaded);
}

}  // namespace
}  // namespace medlarspread::store
