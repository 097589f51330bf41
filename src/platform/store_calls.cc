// Encoding of the store's calls as HTTP requests with JSON bodies.

#include "src/platform/store_calls.h"

#include <algorithm>
#include <charconv>
#include <chrono>
#include <list>
#include <utility>

#include <cpprest/asyncrt_utils.h>
#include <cpprest/base_uri.h>
#include <cpprest/json.h>

#include "src/http1/caller_listener.h"
#include "src/http1/client_connection.h"
#include "src/http1/timed_exchange.h"
#include "src/store/json_fields.h"

namespace medlarspread::platform {

namespace {

namespace http = boost::beast::http;
using base::Error;
using base::ErrorCode;
using base::Result;
using base::Step;
using http1::Response;
using http1::Status;
using store::ReadInteger;
using store::ReadString;
using web::json::value;

// The body of an answer, and the era of the store that sent it.
struct Answer {
  std::shared_ptr<value> body;
  std::int64_t era = 0;
};

using AnswerCallback = std::function<void(Result<Answer>)>;

constexpr int kHttpVersion = 11;
// Increases by one each time the store is restored from a backup.
constexpr const char* kEraHeader = "Store-Era";
// An unresponsive store is detected within this time, also during a watch.
constexpr base::Duration kAckTimeout = base::Milliseconds(2'000);
// A connection without an answer for this time is not used again: it may have
// gone silent, which would cost the next call its timeout. Longer than the
// interval of a reader's renewals.
constexpr base::Duration kMaxIdle = base::Milliseconds(1'500);
// A call that may wait no longer than this shows whether the store is there.
constexpr base::Duration kMaxPromptWait = base::Milliseconds(100);

std::int64_t ToWholeMilliseconds(base::Duration duration) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(duration)
      .count();
}

ErrorCode CodeOf(Status status) {
  switch (status) {
    case Status::not_found:
      return ErrorCode::kNotFound;
    case Status::gone:
      return ErrorCode::kExpired;
    case Status::precondition_failed:
      return ErrorCode::kConflict;
    case Status::too_many_requests:
      return ErrorCode::kOverloaded;
    default:
      return ErrorCode::kUnavailable;
  }
}

// The decoded bytes of a value. An invalid value becomes empty, which no reader
// of a key accepts, so that the other keys of the answer can still be used.
std::string DecodeBytes(const value& row) {
  const auto text = ReadString(row, "value");
  if (!text) {
    return {};
  }
  try {
    const auto bytes = utility::conversions::from_base64(*text);
    return {bytes.begin(), bytes.end()};
  } catch (const std::exception&) {
    return {};
  }
}

// Zero if the answer does not contain its era.
std::int64_t DecodeEra(const Response& response) {
  const auto field = response.find(kEraHeader);
  std::int64_t era = 0;
  if (field != response.end()) {
    const auto text = field->value();
    (void)std::from_chars(text.data(), text.data() + text.size(), era);
  }
  return era;
}

// A written item or a removal; absent if the key or revision is missing.
std::optional<store::Event> DecodeEvent(const value& row, std::int64_t era) {
  const auto key = ReadString(row, "key");
  const auto revision = ReadInteger(row, "rev");
  if (!key || !revision) {
    return std::nullopt;
  }
  store::Event event{*key, std::nullopt, *revision, era};
  if (!store::HasField(row, "removed")) {
    event.value = DecodeBytes(row);
  }
  return event;
}

std::optional<std::vector<store::Event>> DecodeEvents(const Answer& answer,
                                                      const char* field,
                                                      const base::Log& log) {
  const value* rows = store::FindArray(*answer.body, field);
  if (rows == nullptr) {
    return std::nullopt;
  }
  std::vector<store::Event> events;
  for (const value& row : rows->as_array()) {
    if (auto event = DecodeEvent(row, answer.era)) {
      events.push_back(std::move(*event));
    }
  }
  if (const auto unread = rows->size() - events.size(); unread > 0) {
    log.Write(
        {.level = base::LogLevel::kWarning,
         .step = Step::kReadStore,
         .message = std::to_string(unread) +
                    " items in the store's answer have no key or revision "
                    "and were ignored"});
  }
  return events;
}

Error Malformed(const std::string& peer) {
  return base::MakeError(ErrorCode::kMalformed, Step::kReadStore, peer,
                         "the store's answer has a missing or invalid field");
}

bool ReadFlag(const value& object, const char* field) {
  return object.has_boolean_field(field) && object.at(field).as_bool();
}

}  // namespace

class StoreCalls::Impl : public std::enable_shared_from_this<Impl> {
 public:
  Impl(boost::asio::io_context& context,
       base::TaskRunner control,
       StoreCallsSettings settings,
       std::function<void(std::int64_t era)> did_see_era,
       base::Log log)
      : context_(context),
        control_(std::move(control)),
        settings_(std::move(settings)),
        did_see_era_(std::move(did_see_era)),
        log_(std::move(log)) {}

  // The store may wait for `wait` before it answers.
  void Call(http::verb method,
            const std::string& target,
            const std::string& body,
            base::Duration wait,
            AnswerCallback done);

  Result<store::Page> DecodePage(const Result<Answer>& answer) const;

  const StoreCallsSettings& settings() const { return settings_; }
  const base::Log& log() const { return log_; }

 private:
  struct PooledConnection {
    std::shared_ptr<http1::ClientConnection> connection;
    // When it was opened or its last answer came.
    base::MonotonicTime last_answer;
    bool has_answered = false;
  };

  // A connection for the next call, free and not idle for too long; null if the
  // store's address is invalid.
  PooledConnection* Acquire();
  PooledConnection* Find(const http1::ClientConnection* connection);
  void DidAnswer(const http1::ClientConnection* connection);
  // Closes the free connections for which the condition holds.
  void CloseFree(
      const std::function<bool(const PooledConnection&)>& should_close);
  // Tells the failure of a new connection from that of an open one; see
  // store::EventSource.
  static Error Classify(Error error, bool is_new, base::Duration wait);
  Result<Answer> Decode(const Response& response) const;

  boost::asio::io_context& context_;
  const base::TaskRunner control_;
  const StoreCallsSettings settings_;
  const std::function<void(std::int64_t era)> did_see_era_;
  const base::Log log_;
  const base::Clock clock_;
  std::list<PooledConnection> connections_;
};

StoreCalls::Impl::PooledConnection* StoreCalls::Impl::Acquire() {
  const base::MonotonicTime now = clock_.Now();
  CloseFree([now](const PooledConnection& pooled) {
    return now - pooled.last_answer > kMaxIdle;
  });
  for (PooledConnection& pooled : connections_) {
    if (pooled.connection->is_free()) {
      return &pooled;
    }
  }
  const auto endpoint = http1::ParseEndpoint(settings_.address);
  if (!endpoint.is_ok()) {
    return nullptr;
  }
  http1::ClientConnection::Settings settings;
  settings.peer = endpoint.value();
  settings.connect_timeout = settings_.timeout;
  settings.silence_timeout = kAckTimeout;
  settings.did_change =
      [self = weak_from_this()](http1::ClientConnection& connection) {
        const auto calls = self.lock();
        if (calls && connection.is_closed()) {
          calls->connections_.remove_if([&](const PooledConnection& pooled) {
            return pooled.connection.get() == &connection;
          });
        }
      };
  connections_.push_back(
      {std::make_shared<http1::ClientConnection>(context_, std::move(settings)),
       now});
  return &connections_.back();
}

StoreCalls::Impl::PooledConnection* StoreCalls::Impl::Find(
    const http1::ClientConnection* connection) {
  const auto row = std::find_if(connections_.begin(), connections_.end(),
                                [&](const PooledConnection& pooled) {
                                  return pooled.connection.get() == connection;
                                });
  return row == connections_.end() ? nullptr : &*row;
}

void StoreCalls::Impl::DidAnswer(const http1::ClientConnection* connection) {
  if (PooledConnection* pooled = Find(connection)) {
    pooled->last_answer = clock_.Now();
    pooled->has_answered = true;
  }
}

void StoreCalls::Impl::CloseFree(
    const std::function<bool(const PooledConnection&)>& should_close) {
  std::vector<std::shared_ptr<http1::ClientConnection>> closed;
  for (const PooledConnection& pooled : connections_) {
    if (pooled.connection->is_free() && should_close(pooled)) {
      closed.push_back(pooled.connection);
    }
  }
  for (const auto& connection : closed) {
    connection->Close();
  }
}

Error StoreCalls::Impl::Classify(Error error,
                                 bool is_new,
                                 base::Duration wait) {
  const bool has_no_answer = error.code == ErrorCode::kTimeout ||
                             error.code == ErrorCode::kConnectionLost;
  if (has_no_answer && is_new && wait <= kMaxPromptWait) {
    error.code = ErrorCode::kUnreachable;
  }
  return error;
}

void StoreCalls::Impl::Call(http::verb method,
                            const std::string& target,
                            const std::string& body,
                            base::Duration wait,
                            AnswerCallback done) {
  log_.Write({.level = base::LogLevel::kDebug,
              .step = Step::kReadStore,
              .peer = settings_.address,
              .message = "call " + target});
  auto request = std::make_shared<http1::Request>(method, target, kHttpVersion);
  request->set(http::field::host, settings_.address);
  if (method == http::verb::post) {
    request->set(http::field::content_type, "application/json");
    request->body() = body;
    request->prepare_payload();
  }
  http1::TimedExchange exchange;
  exchange.request = std::move(request);
  exchange.timeout = wait + settings_.timeout;
  exchange.step = Step::kReadStore;
  exchange.peer = settings_.address;
  const PooledConnection* pooled = Acquire();
  const auto connection = pooled == nullptr ? nullptr : pooled->connection;
  const bool is_new = pooled != nullptr && !pooled->has_answered;
  exchange.done = [self = shared_from_this(), wait, is_new,
                   used = connection.get(),
                   done = std::move(done)](Result<Response> response) {
    if (!response.is_ok()) {
      // The other open connections may be silent too.
      self->CloseFree([](const PooledConnection&) { return true; });
      done(Classify(response.error(), is_new, wait));
      return;
    }
    self->DidAnswer(used);
    if (const std::int64_t era = DecodeEra(response.value()); era != 0) {
      self->did_see_era_(era);
    }
    done(self->Decode(response.value()));
  };
  http1::StartTimedExchange(connection, control_, std::move(exchange));
}

Result<Answer> StoreCalls::Impl::Decode(const Response& response) const {
  if (response.result() != Status::ok) {
    return base::MakeError(CodeOf(response.result()), Step::kReadStore,
                           settings_.address,
                           "status " + std::to_string(response.result_int()));
  }
  auto body = store::ParseObject(response.body());
  if (!body) {
    // Calls without a result have an empty body.
    if (response.body().empty()) {
      return Answer{std::make_shared<value>(value::object()),
                    DecodeEra(response)};
    }
    return Malformed(settings_.address);
  }
  return Answer{std::move(body), DecodeEra(response)};
}

Result<store::Page> StoreCalls::Impl::DecodePage(
    const Result<Answer>& answer) const {
  if (!answer.is_ok()) {
    return answer.error();
  }
  const value& body = *answer.value().body;
  auto items = DecodeEvents(answer.value(), "items", log_);
  const auto revision = ReadInteger(body, "current_rev");
  if (!items || !revision) {
    return Malformed(settings_.address);
  }
  return store::Page{std::move(*items), !ReadFlag(body, "truncated"), *revision,
                     *revision, answer.value().era};
}

StoreCalls::StoreCalls(boost::asio::io_context& context,
                       base::TaskRunner control,
                       StoreCallsSettings settings,
                       std::function<void(std::int64_t era)> did_see_era,
                       base::Log log)
    : impl_(std::make_shared<Impl>(context,
                                   std::move(control),
                                   std::move(settings),
                                   std::move(did_see_era),
                                   std::move(log))) {}

StoreCalls::~StoreCalls() = default;

store::EventSource StoreCalls::source() {
  store::EventSource source;
  const auto encode = [](const std::string& text) {
    return web::uri::encode_data_string(text);
  };
  const auto make_list = [impl = impl_, encode](const std::string& options) {
    return [impl, encode, options](const std::string& prefix,
                                   const std::string& after, auto done) {
      impl->Call(http::verb::get,
                 "/kv-range?prefix=" + encode(prefix) +
                     (after.empty() ? "" : "&after=" + encode(after)) + options,
                 "", base::Duration{},
                 [impl, done](const Result<Answer>& answer) {
                   done(impl->DecodePage(answer));
                 });
    };
  };
  source.list = make_list("");
  source.list_stale = make_list("&stale_ok=1");
  source.watch = [impl = impl_, encode](const std::string& prefix,
                                        std::int64_t after, base::Duration wait,
                                        auto done) {
    impl->Call(
        http::verb::get,
        "/kv-watch?prefix=" + encode(prefix) +
            "&after=" + std::to_string(after) +
            "&wait_ms=" + std::to_string(ToWholeMilliseconds(wait)),
        "", wait, [impl, done](const Result<Answer>& answer) {
          if (!answer.is_ok()) {
            done(answer.error());
            return;
          }
          auto events = DecodeEvents(answer.value(), "events", impl->log());
          const auto revision =
              ReadInteger(*answer.value().body, "current_rev");
          if (!events || !revision) {
            done(Malformed(impl->settings().address));
            return;
          }
          done(store::Changes{
              std::move(*events), *revision, {answer.value().era, *revision}});
        });
  };
  source.open_lease = [impl = impl_](base::Duration time_to_live, auto done) {
    auto body = value::object();
    body["ttl_ms"] = value::number(ToWholeMilliseconds(time_to_live));
    impl->Call(http::verb::post, "/kv-lease", body.serialize(),
               base::Duration{}, [impl, done](const Result<Answer>& answer) {
                 if (!answer.is_ok()) {
                   done(answer.error());
                   return;
                 }
                 const value& body = *answer.value().body;
                 const auto id = ReadInteger(body, "lease");
                 const auto time = ReadInteger(body, "ttl_ms");
                 if (!id || !time) {
                   done(Malformed(impl->settings().address));
                   return;
                 }
                 done(store::Lease{*id, base::Milliseconds(*time)});
               });
  };
  const auto to_status = [](auto done) {
    return [done](const Result<Answer>& answer) {
      if (answer.is_ok()) {
        done(base::Status(base::Done{}));
      } else {
        done(base::Status(answer.error()));
      }
    };
  };
  source.keep_lease = [impl = impl_, to_status](std::int64_t lease, auto done) {
    impl->Call(http::verb::post, "/kv-keep/" + std::to_string(lease), "",
               base::Duration{}, to_status(done));
  };
  source.put = [impl = impl_, to_status](const std::string& key,
                                         const std::string& text,
                                         std::int64_t lease, auto done) {
    auto write = value::object();
    write["key"] = value::string(key);
    write["value"] = value::string(utility::conversions::to_base64(
        std::vector<unsigned char>(text.begin(), text.end())));
    write["lease"] = value::number(lease);
    auto body = value::object();
    body["expect_rev"] = value::array();
    body["writes"] = value::array({write});
    body["remove"] = value::array();
    impl->Call(http::verb::post, "/kv-txn", body.serialize(), base::Duration{},
               to_status(done));
  };
  return source;
}

}  // namespace medlarspread::platform
