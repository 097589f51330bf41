// Implements the calls of the platform's store.

#include "emulator/hosted/hosted_store.h"

#include <limits>
#include <utility>

#include <cpprest/asyncrt_utils.h>
#include <cpprest/base_uri.h>
#include <cpprest/json.h>

namespace medlarspread::emulator {

namespace {

using http1::Response;
using http1::Status;
using web::json::value;

constexpr int kHttpVersion = 11;

// Parses the query parameters of a request target.
std::map<std::string, std::string> ParametersOf(const std::string& target) {
  std::map<std::string, std::string> parameters;
  const web::uri uri(target);
  for (const auto& [name, text] : web::uri::split_query(uri.query())) {
    parameters[name] = web::uri::decode(text);
  }
  return parameters;
}

std::string Encode(const std::string& text) {
  return utility::conversions::to_base64(
      std::vector<unsigned char>(text.begin(), text.end()));
}

// An item of a list or an event of a watch. Without a text it is a removal.
value MakeItem(const std::string& key,
               std::int64_t revision,
               const std::optional<std::string>& text) {
  auto item = value::object();
  item["key"] = value::string(key);
  item["rev"] = value::number(revision);
  if (text) {
    item["value"] = value::string(*text);
  } else {
    item["removed"] = value::boolean(true);
  }
  return item;
}

}  // namespace

HostedStore::HostedStore(boost::asio::io_context& context) : runner_(context) {
  http1::CallerListener::Settings settings;
  settings.address = "127.0.0.1:0";
  settings.limits = [] { return http1::MessageLimits{}; };
  settings.handle = [this](const http1::Request& request,
                           http1::Respond respond) {
    return Handle(request, std::move(respond));
  };
  listener_ = std::make_shared<http1::CallerListener>(
      context, std::move(settings), base::Clock());
  (void)listener_->Open();
}

std::string HostedStore::address() const {
  return "127.0.0.1:" + std::to_string(listener_->port());
}

void HostedStore::Put(const std::string& key, const std::string& value) {
  runner_.Post([this, key, value] { Change(key, {value, 0, false}); });
}

void HostedStore::PutUnreadable(const std::string& key) {
  runner_.Post([this, key] { Change(key, {"", 0, false, true}); });
}

void HostedStore::Remove(const std::string& key) {
  runner_.Post([this, key] { Change(key, {"", 0, true}); });
}

void HostedStore::TakeCopy() {
  runner_.Post([this] { copy_ = content_; });
}

void HostedStore::RestoreCopy() {
  runner_.Post([this] {
    {
      const std::lock_guard lock(mutex_);
      content_ = copy_;
    }
    ++era_;
    watches_.clear();
    waiting_ = 0;
    listener_->CloseAll();
  });
}

void HostedStore::GiveOutLease() {
  runner_.Post([this] { content_.leases.insert(content_.next_lease++); });
}

Response HostedStore::MakeJson(Status status, const std::string& body) const {
  Response response(status, kHttpVersion);
  response.set(boost::beast::http::field::content_type, "application/json");
  response.set("Store-Era", std::to_string(era_));
  response.body() = body;
  response.prepare_payload();
  return response;
}

void HostedStore::ForgetHistory() {
  runner_.Post([this] {
    content_.forgotten = content_.revision;
    auto watches = std::exchange(watches_, {});
    for (const auto& [id, watch] : watches) {
      watch.respond(MakeJson(Status::gone, "{}"));
    }
  });
}

http1::Abandon HostedStore::Handle(const http1::Request& request,
                                   http1::Respond respond) {
  const std::string target(request.target());
  if (is_silent_) {
    return [] {};
  }
  if (target.starts_with("/kv-keep/")) {
    KeepLease(target, respond);
    return [] {};
  }
  ++calls_;
  if (target.starts_with("/kv-watch?")) {
    return StartWatch(target, std::move(respond));
  }
  if (target.starts_with("/kv-range?")) {
    Range(target, respond);
  } else if (target == "/kv-lease") {
    OpenLease(respond);
  } else if (target == "/kv-txn") {
    Transact(request.body(), respond);
  } else {
    respond(MakeJson(Status::not_found, "{}"));
  }
  return [] {};
}

void HostedStore::OpenLease(const http1::Respond& respond) {
  const std::int64_t lease = content_.next_lease++;
  content_.leases.insert(lease);
  respond(MakeJson(Status::ok, R"({"lease":)" + std::to_string(lease) +
                                   R"(,"ttl_ms":60000})"));
}

void HostedStore::KeepLease(const std::string& target,
                            const http1::Respond& respond) {
  const std::int64_t lease = std::stoll(target.substr(target.rfind('/') + 1));
  respond(content_.leases.contains(lease)
              ? MakeJson(Status::ok, R"({"ttl_ms":60000})")
              : MakeJson(Status::not_found, "{}"));
}

void HostedStore::AddReplicas(base::Duration most_behind,
                              std::size_t most_items,
                              std::uint64_t seed) {
  runner_.Post([this, most_behind, most_items, seed] {
    most_behind_ = most_behind;
    most_items_ = most_items;
    replica_random_ = std::make_unique<base::Random>(seed);
  });
}

HostedStore::Rows HostedStore::ReadReplica() {
  if (replica_random_->Below(2) == 0) {
    return content_.rows;
  }
  const auto behind =
      base::Duration(static_cast<std::int64_t>(replica_random_->Below(
          static_cast<std::uint64_t>(most_behind_.count()))));
  const base::MonotonicTime read_until = clock_.Now() - behind;
  Rows rows;
  for (const WrittenRow& written : content_.history) {
    if (written.at <= read_until) {
      rows[written.key] = written.row;
    }
  }
  return rows;
}

std::size_t HostedStore::DrawPageItems() {
  return most_items_ == 0 ? std::numeric_limits<std::size_t>::max()
                          : 1 + replica_random_->Below(most_items_);
}

void HostedStore::Range(const std::string& target,
                        const http1::Respond& respond) {
  auto parameters = ParametersOf(target);
  const bool is_stale =
      parameters["stale_ok"] == "1" && most_behind_ > base::Duration{};
  const Rows rows = is_stale ? ReadReplica() : content_.rows;
  const std::size_t most_items = DrawPageItems();
  auto items = value::array();
  std::size_t count = 0;
  bool is_truncated = false;
  for (const auto& [key, row] : rows) {
    const bool is_on_page = !row.is_removed && key > parameters["after"] &&
                            key.starts_with(parameters["prefix"]);
    is_truncated = is_truncated || (is_on_page && count == most_items);
    if (is_on_page && !is_truncated) {
      items[count++] = MakeItem(key, row.revision, TextOf(row));
    }
  }
  respond(MakeJson(
      Status::ok, R"({"items":)" + items.serialize() + R"(,"truncated":)" +
                      (is_truncated ? "true" : "false") + R"(,"current_rev":)" +
                      std::to_string(content_.revision) + "}"));
}

http1::Abandon HostedStore::StartWatch(const std::string& target,
                                       http1::Respond respond) {
  auto parameters = ParametersOf(target);
  const std::int64_t after = std::stoll(parameters["after"]);
  if (after < content_.forgotten || after > content_.revision) {
    respond(MakeJson(Status::gone, "{}"));
    return [] {};
  }
  const std::uint64_t id = next_watch_++;
  watches_[id] = {parameters["prefix"], after, std::move(respond)};
  waiting_ = static_cast<int>(watches_.size());
  base::Timer timer = runner_.After(
      base::Milliseconds(std::stoll(parameters["wait_ms"])), [this, id] {
        auto node = watches_.extract(id);
        waiting_ = static_cast<int>(watches_.size());
        if (!node.empty() && !is_silent_) {
          node.mapped().respond(MakeJson(
              Status::ok, R"({"events":[],"current_rev":)" +
                              std::to_string(content_.revision) + "}"));
        }
      });
  AnswerWatches();
  return [this, id, timer]() mutable {
    timer.Cancel();
    watches_.erase(id);
    waiting_ = static_cast<int>(watches_.size());
  };
}

void HostedStore::Transact(const std::string& body,
                           const http1::Respond& respond) {
  const value call = value::parse(body);
  for (const value& write : call.at("writes").as_array()) {
    const auto bytes =
        utility::conversions::from_base64(write.at("value").as_string());
    Change(write.at("key").as_string(),
           {std::string(bytes.begin(), bytes.end()), 0, false, false,
            write.at("lease").as_number().to_int64()});
  }
  respond(MakeJson(Status::ok,
                   R"({"rev":)" + std::to_string(content_.revision) + "}"));
}

std::string HostedStore::RowsAfter(const std::string& prefix,
                                   std::int64_t after) const {
  auto rows = value::array();
  std::size_t count = 0;
  for (const auto& [key, row] : content_.rows) {
    if (key.starts_with(prefix) && row.revision > after) {
      rows[count++] = MakeItem(key, row.revision, TextOf(row));
    }
  }
  return rows.serialize();
}

std::optional<std::string> HostedStore::TextOf(const Row& row) {
  if (row.is_removed) {
    return std::nullopt;
  }
  return row.is_unreadable ? "?" : Encode(row.value);
}

void HostedStore::Change(const std::string& key, Row row) {
  row.revision = ++content_.revision;
  content_.history.push_back({clock_.Now(), key, row});
  {
    const std::lock_guard lock(mutex_);
    content_.rows[key] = std::move(row);
  }
  AnswerWatches();
}

bool HostedStore::Holds(const std::string& key) const {
  const std::lock_guard lock(mutex_);
  const auto row = content_.rows.find(key);
  return row != content_.rows.end() && !row->second.is_removed;
}

std::int64_t HostedStore::LeaseOf(const std::string& key) const {
  const std::lock_guard lock(mutex_);
  const auto row = content_.rows.find(key);
  return row == content_.rows.end() ? 0 : row->second.lease;
}

void HostedStore::AnswerWatches() {
  if (is_silent_) {
    return;
  }
  std::vector<std::uint64_t> due;
  for (const auto& [id, watch] : watches_) {
    if (RowsAfter(watch.prefix, watch.after) != "[]") {
      due.push_back(id);
    }
  }
  for (const std::uint64_t id : due) {
    auto node = watches_.extract(id);
    waiting_ = static_cast<int>(watches_.size());
    const Watch& watch = node.mapped();
    watch.respond(MakeJson(
        Status::ok, R"({"events":)" + RowsAfter(watch.prefix, watch.after) +
                        R"(,"current_rev":)" +
                        std::to_string(content_.revision) + "}"));
  }
}

}  // namespace medlarspread::emulator
