// The store's calls. The JSON bodies that daemons send are flat, so that their
// fields are found by name.

#include "review/standins/store.h"

#include <algorithm>
#include <cstdlib>
#include <utility>

namespace medlarspread::review {

namespace {

constexpr int kReadTimeoutMs = 120'000;

std::string EncodeBase64(const std::string& text) {
  constexpr const char* kDigits =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string encoded;
  for (std::size_t at = 0; at < text.size(); at += 3) {
    unsigned bits = 0;
    for (std::size_t index = 0; index < 3; ++index) {
      bits = bits << 8 | (at + index < text.size()
                              ? static_cast<unsigned char>(text[at + index])
                              : 0U);
    }
    for (std::size_t index = 0; index < 4; ++index) {
      encoded += at + index > text.size()
                     ? '='
                     : kDigits[bits >> (18 - 6 * index) & 63];
    }
  }
  return encoded;
}

// The text of a string field, from `begin` on.
std::string FindText(const std::string& json,
                     const std::string& field,
                     std::size_t begin = 0) {
  const std::string name = "\"" + field + "\":\"";
  const auto at = json.find(name, begin);
  if (at == std::string::npos) {
    return "";
  }
  std::string text;
  for (std::size_t next = at + name.size();
       next < json.size() && json[next] != '"'; ++next) {
    if (json[next] == '\\') {
      ++next;
    }
    text += json[next];
  }
  return text;
}

std::int64_t FindNumber(const std::string& json,
                        const std::string& field,
                        std::size_t begin = 0) {
  const std::string name = "\"" + field + "\":";
  const auto at = json.find(name, begin);
  return at == std::string::npos
             ? 0
             : std::strtoll(json.c_str() + at + name.size(), nullptr, 10);
}

std::string Ok(const std::string& body) {
  return FormatResponse(200, {{"Content-Type", "application/json"}}, body);
}

std::string Parameter(const std::map<std::string, std::string>& query,
                      const std::string& name) {
  const auto row = query.find(name);
  return row == query.end() ? "" : row->second;
}

}  // namespace

int Store::Open(int port) {
  return Listen(port, [this](Connection& connection) {
    while (const auto request = connection.Read(kReadTimeoutMs)) {
      if (!connection.Write(Answer(*request))) {
        return;
      }
    }
  });
}

void Store::Put(const std::string& key, const std::string& text) {
  const std::lock_guard lock(mutex_);
  Write(key, EncodeBase64(text), 0);
}

void Store::Remove(const std::string& key) {
  const std::lock_guard lock(mutex_);
  Erase(key);
}

std::string Store::Answer(const Message& request) {
  const auto [path, query] = ParseTarget(request.target());
  if (path == "/kv-range") {
    return AnswerRange(query);
  }
  if (path == "/kv-watch") {
    return AnswerWatch(query);
  }
  if (path == "/kv-txn") {
    return AnswerTransaction(request.body);
  }
  if (path == "/kv-lease") {
    return AnswerLease(request.body);
  }
  if (path.starts_with("/kv-keep/")) {
    return AnswerKeep(std::atoll(path.c_str() + 9));
  }
  return FormatResponse(404, {}, "");
}

void Store::set_replica_lags(std::vector<std::chrono::milliseconds> lags) {
  const std::lock_guard lock(mutex_);
  replica_lags_ = std::move(lags);
}

std::map<std::string, Store::Item> Store::ReadReplica() {
  const std::size_t replica = random_() % replica_lags_.size();
  const auto seen_until = Clock::now() - replica_lags_[replica];
  std::map<std::string, Item> items;
  for (const Change& change : changes_) {
    if (change.when > seen_until) {
      break;
    }
    if (change.item) {
      items[change.key] = *change.item;
    } else {
      items.erase(change.key);
    }
  }
  return items;
}

std::string Store::AnswerRange(
    const std::map<std::string, std::string>& query) {
  const std::lock_guard lock(mutex_);
  EndLeases();
  const bool is_stale =
      Parameter(query, "stale_ok") == "1" && !replica_lags_.empty();
  const std::map<std::string, Item> items = is_stale ? ReadReplica() : items_;
  std::string rows;
  std::size_t count = 0;
  bool is_truncated = false;
  for (const auto& [key, item] : items) {
    if (!key.starts_with(Parameter(query, "prefix")) ||
        key <= Parameter(query, "after")) {
      continue;
    }
    if (count == page_size_) {
      is_truncated = true;
      break;
    }
    ++count;
    rows += (rows.empty() ? "" : ",") + ToJson(key, item);
  }
  return Ok("{\"items\":[" + rows +
            "],\"truncated\":" + (is_truncated ? "true" : "false") +
            ",\"current_rev\":" + std::to_string(revision_) + "}");
}

std::string Store::AnswerWatch(
    const std::map<std::string, std::string>& query) {
  const std::int64_t after = std::atoll(Parameter(query, "after").c_str());
  const auto until = Clock::now() + std::chrono::milliseconds(std::atoll(
                                        Parameter(query, "wait_ms").c_str()));
  std::unique_lock lock(mutex_);
  std::string rows;
  while (rows.empty()) {
    EndLeases();
    for (const Change& change : changes_) {
      if (change.revision <= after ||
          !change.key.starts_with(Parameter(query, "prefix"))) {
        continue;
      }
      const std::string removal = "{\"key\":\"" + change.key + "\",\"rev\":" +
                                  std::to_string(change.revision) +
                                  ",\"removed\":true}";
      rows += (rows.empty() ? "" : ",") +
              (change.json.empty() ? removal : change.json);
    }
    const auto now = Clock::now();
    if (!rows.empty() || now >= until) {
      break;
    }
    changed_.wait_until(lock,
                        std::min(until, now + std::chrono::milliseconds(200)));
  }
  return Ok("{\"events\":[" + rows +
            "],\"current_rev\":" + std::to_string(revision_) + "}");
}

std::string Store::AnswerTransaction(const std::string& body) {
  const std::lock_guard lock(mutex_);
  EndLeases();
  const auto writes = body.find("\"writes\"");
  const std::int64_t lease = FindNumber(body, "lease", writes);
  if (lease != 0 && !leases_.contains(lease)) {
    return FormatResponse(404, {}, "");
  }
  Write(FindText(body, "key", writes), FindText(body, "value", writes), lease);
  return Ok("{\"rev\":" + std::to_string(revision_) + "}");
}

std::string Store::AnswerLease(const std::string& body) {
  const std::lock_guard lock(mutex_);
  const std::chrono::milliseconds time_to_live(FindNumber(body, "ttl_ms"));
  leases_[++last_lease_] = {Clock::now() + time_to_live, time_to_live};
  return Ok("{\"lease\":" + std::to_string(last_lease_) +
            ",\"ttl_ms\":" + std::to_string(time_to_live.count()) + "}");
}

std::string Store::AnswerKeep(std::int64_t lease) {
  const std::lock_guard lock(mutex_);
  EndLeases();
  const auto row = leases_.find(lease);
  if (row == leases_.end()) {
    return FormatResponse(404, {}, "");
  }
  row->second.ends = Clock::now() + row->second.time_to_live;
  return Ok("{\"ttl_ms\":" + std::to_string(row->second.time_to_live.count()) +
            "}");
}

void Store::Write(const std::string& key,
                  const std::string& value,
                  std::int64_t lease) {
  Item& item = items_[key];
  item.value = value;
  item.revision = ++revision_;
  item.created = item.created == 0 ? revision_ : item.created;
  item.lease = lease;
  changes_.push_back({key, revision_, ToJson(key, item), item, Clock::now()});
  changed_.notify_all();
}

void Store::Erase(const std::string& key) {
  if (items_.erase(key) > 0) {
    changes_.push_back({key, ++revision_, "", std::nullopt, Clock::now()});
    changed_.notify_all();
  }
}

void Store::EndLeases() {
  const auto now = Clock::now();
  std::erase_if(leases_,
                [now](const auto& row) { return row.second.ends <= now; });
  std::vector<std::string> ended;
  for (const auto& [key, item] : items_) {
    if (item.lease != 0 && !leases_.contains(item.lease)) {
      ended.push_back(key);
    }
  }
  for (const std::string& key : ended) {
    Erase(key);
  }
}

std::string Store::ToJson(const std::string& key, const Item& item) {
  return "{\"key\":\"" + key + "\",\"value\":\"" + item.value +
         "\",\"rev\":" + std::to_string(item.revision) +
         ",\"created\":" + std::to_string(item.created) +
         ",\"lease\":" + std::to_string(item.lease) + "}";
}

}  // namespace medlarspread::review
