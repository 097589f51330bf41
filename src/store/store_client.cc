// Builds the calls of the key-value service and parses its responses.

#include "src/store/store_client.h"

#include <algorithm>
#include <utility>

#include <cpprest/json.h>

#include "src/http/client.h"
#include "src/store/json_fields.h"

namespace medlarspread::store {

namespace {

using base::ErrorCode;
using base::Step;
using HttpResult = base::Result<http::Response>;

constexpr char kKeyPath[] = "/v1/kv/";
constexpr char kListPath[] = "/v1/kv";
constexpr char kWatchPath[] = "/v1/watch";
constexpr int kFirstServerError = 500;

std::int64_t ToWholeMilliseconds(base::Duration duration) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(duration)
      .count();
}

// Parses an object with a key, a value and a version.
std::optional<Entry> ParseEntry(const web::json::value& object) {
  const auto key = ReadString(object, "key");
  const auto value = ReadString(object, "value");
  const auto version = ReadInteger(object, "version");
  if (!key || !value || !version || *version <= kAbsent) {
    return std::nullopt;
  }
  return Entry{*key, *value, *version};
}

// Parses a body that holds one entry; nothing if it is not of the requested
// key.
std::optional<Entry> ParseEntryBody(const std::string& body,
                                    const std::string& key) {
  const auto object = ParseObject(body);
  if (!object) {
    return std::nullopt;
  }
  auto entry = ParseEntry(*object);
  return entry && entry->key == key ? entry : std::nullopt;
}

std::optional<std::vector<Entry>> ParseList(const std::string& body) {
  const auto object = ParseObject(body);
  const auto* array = object ? FindArray(*object, "entries") : nullptr;
  if (array == nullptr) {
    return std::nullopt;
  }
  std::vector<Entry> entries;
  for (const auto& element : array->as_array()) {
    auto entry = ParseEntry(element);
    if (!entry) {
      return std::nullopt;
    }
    entries.push_back(std::move(*entry));
  }
  return entries;
}

// Parses the new version that a successful write reports.
std::optional<std::int64_t> ParseVersion(const std::string& body) {
  const auto object = ParseObject(body);
  const auto version =
      object ? ReadInteger(*object, "version") : std::optional<std::int64_t>();
  return version && *version > kAbsent ? version : std::nullopt;
}

std::string WriteBody(const std::string& value, std::int64_t expected_version) {
  auto object = web::json::value::object();
  object["value"] = web::json::value::string(value);
  object["expected_version"] = web::json::value::number(expected_version);
  return object.serialize();
}

}  // namespace

class StoreClient::Impl : public std::enable_shared_from_this<Impl> {
 public:
  Impl(const StoreClientSettings& settings, base::TaskRunner sequence)
      : settings_(settings),
        sequence_(sequence),
        client_({.address = settings.address,
                 .step = Step::kReadStore,
                 .max_body_bytes = settings.max_body_bytes},
                sequence) {}

  void Read(const std::string& key,
            base::Duration timeout,
            Store::ReadCallback callback);
  void List(const std::string& prefix,
            base::Duration timeout,
            Store::ListCallback callback);
  void Watch(const std::string& key,
             std::int64_t after_version,
             base::Duration wait,
             Store::ReadCallback callback);
  void CompareAndSwap(const std::string& key,
                      const std::string& value,
                      std::int64_t expected_version,
                      base::Duration timeout,
                      Store::WriteCallback callback);
  void Erase(const std::string& key,
             std::int64_t expected_version,
             base::Duration timeout,
             Store::EraseCallback callback);

 private:
  base::Error Fail(ErrorCode code, Step step, std::string detail) const {
    return base::MakeError(code, step, settings_.address, std::move(detail));
  }

  // The error for a read that did not succeed.
  base::Error ReadFailure(const HttpResult& result, Step step) const;
  // The error for a write that did not succeed.
  base::Error WriteFailure(const HttpResult& result) const;

  base::Result<std::optional<Entry>> DidRead(const HttpResult& result,
                                             const std::string& key) const;
  base::Result<std::optional<Entry>> DidWatch(const HttpResult& result,
                                              const std::string& key) const;
  base::Result<std::vector<Entry>> DidList(const HttpResult& result) const;
  base::Result<std::int64_t> DidWrite(const HttpResult& result) const;
  base::Status DidErase(const HttpResult& result) const;

  const StoreClientSettings settings_;
  const base::TaskRunner sequence_;
  http::Client client_;
};

base::Error StoreClient::Impl::ReadFailure(const HttpResult& result,
                                           Step step) const {
  if (!result.is_ok()) {
    base::Error error = result.error();
    error.step = step;
    return error;
  }
  const int status = result.value().status;
  const std::string detail = "status " + std::to_string(status);
  if (status == http::kTooManyRequests) {
    return Fail(ErrorCode::kOverloaded, step, detail);
  }
  if (status >= kFirstServerError) {
    return Fail(ErrorCode::kUnavailable, step, detail);
  }
  if (status == http::kOk) {
    return Fail(ErrorCode::kMalformed, step,
                "the response body does not match the published format");
  }
  return Fail(ErrorCode::kInternal, step, detail);
}

base::Error StoreClient::Impl::WriteFailure(const HttpResult& result) const {
  constexpr Step kStep = Step::kWriteStore;
  if (!result.is_ok()) {
    // Only a failure to connect proves that nothing was sent.
    const bool is_unsent = result.error().code == ErrorCode::kUnreachable;
    return Fail(
        is_unsent ? ErrorCode::kUnreachable : ErrorCode::kUnknownOutcome, kStep,
        result.error().ToString());
  }
  const int status = result.value().status;
  const std::string detail = "status " + std::to_string(status);
  switch (status) {
    case http::kTooManyRequests:
      return Fail(ErrorCode::kOverloaded, kStep, detail);
    case http::kConflict:
      return Fail(ErrorCode::kConflict, kStep,
                  "the key has a different version");
    case http::kNotFound:
      return Fail(ErrorCode::kNotFound, kStep, detail);
    case http::kPayloadTooLarge:
      return Fail(ErrorCode::kTooLarge, kStep, detail);
    case http::kBadRequest:
      return Fail(ErrorCode::kInvalidArgument, kStep, detail);
    default:
      return Fail(ErrorCode::kUnknownOutcome, kStep, detail);
  }
}

base::Result<std::optional<Entry>> StoreClient::Impl::DidRead(
    const HttpResult& result,
    const std::string& key) const {
  if (result.is_ok() && result.value().status == http::kNotFound) {
    return std::optional<Entry>();
  }
  if (result.is_ok() && result.value().status == http::kOk) {
    if (auto entry = ParseEntryBody(result.value().body, key)) {
      return entry;
    }
  }
  return ReadFailure(result, Step::kReadStore);
}

base::Result<std::optional<Entry>> StoreClient::Impl::DidWatch(
    const HttpResult& result,
    const std::string& key) const {
  if (result.is_ok() && result.value().status == http::kNoContent) {
    return std::optional<Entry>();
  }
  if (result.is_ok() && result.value().status == http::kOk) {
    if (auto entry = ParseEntryBody(result.value().body, key)) {
      return entry;
    }
  }
  return ReadFailure(result, Step::kWatchStore);
}

base::Result<std::vector<Entry>> StoreClient::Impl::DidList(
    const HttpResult& result) const {
  if (result.is_ok() && result.value().status == http::kOk) {
    if (auto entries = ParseList(result.value().body)) {
      return std::move(*entries);
    }
  }
  return ReadFailure(result, Step::kReadStore);
}

base::Result<std::int64_t> StoreClient::Impl::DidWrite(
    const HttpResult& result) const {
  if (result.is_ok() && result.value().status == http::kOk) {
    if (const auto version = ParseVersion(result.value().body)) {
      return *version;
    }
  }
  return WriteFailure(result);
}

base::Status StoreClient::Impl::DidErase(const HttpResult& result) const {
  if (result.is_ok() && result.value().status == http::kOk) {
    return base::Done{};
  }
  return WriteFailure(result);
}

void StoreClient::Impl::Read(const std::string& key,
                             base::Duration timeout,
                             Store::ReadCallback callback) {
  http::Request request;
  request.path = kKeyPath + key;
  client_.Send(
      request, timeout,
      [self = shared_from_this(), key, callback = std::move(callback)](
          const HttpResult& result) { callback(self->DidRead(result, key)); });
}

void StoreClient::Impl::List(const std::string& prefix,
                             base::Duration timeout,
                             Store::ListCallback callback) {
  http::Request request;
  request.path = kListPath;
  request.parameters["prefix"] = prefix;
  client_.Send(
      request, timeout,
      [self = shared_from_this(), callback = std::move(callback)](
          const HttpResult& result) { callback(self->DidList(result)); });
}

void StoreClient::Impl::Watch(const std::string& key,
                              std::int64_t after_version,
                              base::Duration wait,
                              Store::ReadCallback callback) {
  const base::Duration bounded_wait = std::min(wait, kMaxWatchWait);
  http::Request request;
  request.path = kWatchPath;
  request.parameters["key"] = key;
  request.parameters["after_version"] = std::to_string(after_version);
  request.parameters["wait_ms"] =
      std::to_string(ToWholeMilliseconds(bounded_wait));
  client_.Send(
      request, bounded_wait + settings_.watch_margin,
      [self = shared_from_this(), key, callback = std::move(callback)](
          const HttpResult& result) { callback(self->DidWatch(result, key)); });
}

void StoreClient::Impl::CompareAndSwap(const std::string& key,
                                       const std::string& value,
                                       std::int64_t expected_version,
                                       base::Duration timeout,
                                       Store::WriteCallback callback) {
  if (value.size() > kMaxValueBytes) {
    sequence_.Post([self = shared_from_this(), callback = std::move(callback)] {
      callback(self->Fail(ErrorCode::kTooLarge, Step::kWriteStore,
                          "the value is larger than 1 MB"));
    });
    return;
  }
  http::Request request;
  request.method = "PUT";
  request.path = kKeyPath + key;
  request.body = WriteBody(value, expected_version);
  client_.Send(
      request, timeout,
      [self = shared_from_this(), callback = std::move(callback)](
          const HttpResult& result) { callback(self->DidWrite(result)); });
}

void StoreClient::Impl::Erase(const std::string& key,
                              std::int64_t expected_version,
                              base::Duration timeout,
                              Store::EraseCallback callback) {
  http::Request request;
  request.method = "DELETE";
  request.path = kKeyPath + key;
  request.parameters["expected_version"] = std::to_string(expected_version);
  client_.Send(
      request, timeout,
      [self = shared_from_this(), callback = std::move(callback)](
          const HttpResult& result) { callback(self->DidErase(result)); });
}

StoreClient::StoreClient(StoreClientSettings settings,
                         base::TaskRunner sequence)
    : impl_(std::make_shared<Impl>(settings, std::move(sequence))) {}

Store StoreClient::store() const {
  Store store;
  store.read = [impl = impl_](const std::string& key, base::Duration timeout,
                              Store::ReadCallback callback) {
    impl->Read(key, timeout, std::move(callback));
  };
  store.compare_and_swap =
      [impl = impl_](const std::string& key, const std::string& value,
                     std::int64_t expected_version, base::Duration timeout,
                     Store::WriteCallback callback) {
        impl->CompareAndSwap(key, value, expected_version, timeout,
                             std::move(callback));
      };
  store.list = [impl = impl_](const std::string& prefix, base::Duration timeout,
                              Store::ListCallback callback) {
    impl->List(prefix, timeout, std::move(callback));
  };
  store.erase = [impl = impl_](
                    const std::string& key, std::int64_t expected_version,
                    base::Duration timeout, Store::EraseCallback callback) {
    impl->Erase(key, expected_version, timeout, std::move(callback));
  };
  store.watch = [impl = impl_](const std::string& key,
                               std::int64_t after_version, base::Duration wait,
                               Store::ReadCallback callback) {
    impl->Watch(key, after_version, wait, std::move(callback));
  };
  return store;
}

}  // namespace medlarspread::store
