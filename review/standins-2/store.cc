// The calls of the platform's metadata store.

#include "review/standins-2/store.h"

#include <algorithm>
#include <cstdlib>
#include <thread>

#include <unistd.h>

namespace medlarspread::review {

namespace {

// How long the store takes for an answer.
constexpr milliseconds kServiceTime(4);
constexpr milliseconds kPollInterval(10);
constexpr std::size_t kMaxPageItems = 500;
constexpr std::int64_t kMinTimeToLive = 1'000;
constexpr std::int64_t kMaxTimeToLive = 600'000;
constexpr std::int64_t kMaxWait = 30'000;

std::string Quote(const std::string& text) {
  return "\"" + text + "\"";
}

std::string Number(std::int64_t number) {
  return std::to_string(number);
}

std::string MakeAnswer(int status, const std::string& body) {
  return MakeResponse(status, {{"Content-Type", "application/json"}}, body);
}

bool IsReserved(const std::string& key) {
  return key.starts_with("op/") || key.starts_with("servers/");
}

std::int64_t LastNumberOf(const std::string& target) {
  return std::atoll(target.substr(target.rfind('/') + 1).c_str());
}

}  // namespace

Store::Store(Record& record)
    : record_(record),
      listener_("127.0.0.1", [this](int handle) { Serve(handle); }) {}

Time Store::Put(const std::string& key, const std::string& value) {
  const std::lock_guard lock(mutex_);
  WriteItem(key, value, 0);
  return SteadyClock::now();
}

Time Store::Remove(const std::string& key) {
  const std::lock_guard lock(mutex_);
  RemoveItem(key);
  return SteadyClock::now();
}

Time Store::PutAndLoseOneAnswer(const std::string& key,
                                const std::string& value) {
  const std::lock_guard lock(mutex_);
  const auto last = std::max_element(watches_.begin(), watches_.end(),
                                     [](const Watch& left, const Watch& right) {
                                       return left.began < right.began;
                                     });
  if (last != watches_.end()) {
    last->is_answer_lost = true;
  }
  WriteItem(key, value, 0);
  return SteadyClock::now();
}

Time Store::SilenceOpenConnections() {
  const std::lock_guard lock(mutex_);
  for (const auto& peer : peers_) {
    peer->is_silent = true;
  }
  record_.Write("store: " + Number(static_cast<std::int64_t>(peers_.size())) +
                " open connections go silent");
  return SteadyClock::now();
}

int Store::waiting_watches() const {
  const std::lock_guard lock(mutex_);
  return static_cast<int>(watches_.size());
}

std::optional<Time> Store::last_watch_began() const {
  const std::lock_guard lock(mutex_);
  std::optional<Time> began;
  for (const Watch& watch : watches_) {
    began = std::max(began.value_or(watch.began), watch.began);
  }
  return began;
}

Time Store::last_renewal() const {
  const std::lock_guard lock(mutex_);
  return last_renewal_;
}

void Store::Serve(int handle) {
  const auto peer = std::make_shared<Peer>();
  {
    const std::lock_guard lock(mutex_);
    peer->number = next_peer_++;
    peers_.insert(peer);
  }
  std::string buffer;
  while (const auto call = ReadMessage(handle, buffer, std::nullopt)) {
    const auto answer = Handle(handle, *peer, *call);
    if (answer && !Send(handle, *answer)) {
      break;
    }
  }
  const std::lock_guard lock(mutex_);
  peers_.erase(peer);
  close(handle);
}

std::optional<std::string> Store::Handle(int handle,
                                         Peer& peer,
                                         const Message& call) {
  const std::string target = call.SecondWord();
  {
    const std::lock_guard lock(mutex_);
    if (peer.is_silent) {
      record_.Write("store: connection " + Number(peer.number) +
                    " is silent: " + target);
      return std::nullopt;
    }
  }
  std::this_thread::sleep_for(kServiceTime);
  if (target.starts_with("/kv-watch?")) {
    return HandleWatch(handle, peer, target);
  }
  std::string answer;
  if (target.starts_with("/kv-range?")) {
    answer = HandleRange(target);
  } else if (target.starts_with("/kv-key?")) {
    answer = HandleKey(target);
  } else if (target == "/kv-txn") {
    answer = HandleTransaction(call.body);
  } else if (target == "/kv-lease") {
    answer = HandleOpenLease(call.body);
  } else if (target.starts_with("/kv-keep/")) {
    answer = HandleKeepLease(target);
  } else if (target.starts_with("/kv-lease-end/")) {
    answer = HandleEndLease(target);
  } else {
    answer = MakeAnswer(400, "{}");
  }
  const std::lock_guard lock(mutex_);
  return peer.is_silent ? std::nullopt : std::optional(answer);
}

std::optional<std::string> Store::HandleWatch(int handle,
                                              Peer& peer,
                                              const std::string& target) {
  auto parameters = ParametersOf(target);
  const std::int64_t after = std::atoll(parameters["after"].c_str());
  const std::int64_t wait = std::clamp<std::int64_t>(
      std::atoll(parameters["wait_ms"].c_str()), 0, kMaxWait);
  const Time until = SteadyClock::now() + milliseconds(wait);
  std::unique_lock lock(mutex_);
  const auto watch = watches_.insert(watches_.end(), {SteadyClock::now()});
  std::string events;
  while (!peer.is_silent) {
    events = EventsAfter(parameters["prefix"], after);
    if (!events.empty() || SteadyClock::now() >= until) {
      break;
    }
    did_change_.wait_for(lock, kPollInterval);
    if (IsClosedByPeer(handle)) {
      break;
    }
  }
  const bool is_lost = watch->is_answer_lost && !events.empty();
  watches_.erase(watch);
  if (is_lost) {
    record_.Write("store: the answer to the watch on connection " +
                  Number(peer.number) + " is lost");
    peer.is_silent = true;
  }
  if (peer.is_silent) {
    return std::nullopt;
  }
  return MakeAnswer(200, R"({"events":[)" + events + R"(],"current_rev":)" +
                             Number(revision_) + "}");
}

std::string Store::HandleRange(const std::string& target) {
  auto parameters = ParametersOf(target);
  const std::string& prefix = parameters["prefix"];
  const std::string& after = parameters["after"];
  const std::lock_guard lock(mutex_);
  std::string rows;
  std::size_t count = 0;
  bool is_truncated = false;
  for (const auto& [key, item] : items_) {
    if (!key.starts_with(prefix) || (!after.empty() && key <= after)) {
      continue;
    }
    if (count == kMaxPageItems) {
      is_truncated = true;
      break;
    }
    ++count;
    rows += (rows.empty() ? "" : ",") + std::string(R"({"key":)") + Quote(key) +
            R"(,"value":)" + Quote(EncodeBase64(item.value)) + R"(,"rev":)" +
            Number(item.revision) + R"(,"created":)" + Number(item.created) +
            R"(,"lease":)" + Number(item.lease) + "}";
  }
  return MakeAnswer(200, R"({"items":[)" + rows + R"(],"truncated":)" +
                             (is_truncated ? "true" : "false") +
                             R"(,"current_rev":)" + Number(revision_) + "}");
}

std::string Store::HandleKey(const std::string& target) {
  const std::string key = ParametersOf(target)["key"];
  const std::lock_guard lock(mutex_);
  const auto item = items_.find(key);
  if (item == items_.end()) {
    return MakeAnswer(404, R"({"current_rev":)" + Number(revision_) + "}");
  }
  return MakeAnswer(200, R"({"key":)" + Quote(key) + R"(,"value":)" +
                             Quote(EncodeBase64(item->second.value)) +
                             R"(,"rev":)" + Number(item->second.revision) +
                             R"(,"created":)" + Number(item->second.created) +
                             R"(,"lease":)" + Number(item->second.lease) +
                             R"(,"current_rev":)" + Number(revision_) + "}");
}

std::string Store::HandleTransaction(const std::string& body) {
  const Json call = ParseJson(body);
  const std::lock_guard lock(mutex_);
  EndLeases();
  for (const Json& row : call.at("expect_rev").items) {
    const auto item = items_.find(row.at("key").text);
    const std::int64_t known = item == items_.end() ? 0 : item->second.revision;
    if (known != row.at("rev").number) {
      return MakeAnswer(412, R"({"items":[]})");
    }
  }
  for (const Json& write : call.at("writes").items) {
    const std::int64_t lease = write.at("lease").number;
    if (IsReserved(write.at("key").text)) {
      return MakeAnswer(403, "{}");
    }
    if (lease != 0 && !leases_.contains(lease)) {
      return MakeAnswer(404, "{}");
    }
  }
  for (const Json& write : call.at("writes").items) {
    WriteItem(write.at("key").text, DecodeBase64(write.at("value").text),
              write.at("lease").number);
  }
  for (const Json& key : call.at("remove").items) {
    RemoveItem(key.text);
  }
  return MakeAnswer(200, R"({"rev":)" + Number(revision_) + "}");
}

std::string Store::HandleOpenLease(const std::string& body) {
  const std::int64_t wanted = ParseJson(body).at("ttl_ms").number;
  const milliseconds time_to_live(
      std::clamp(wanted, kMinTimeToLive, kMaxTimeToLive));
  const std::lock_guard lock(mutex_);
  const std::int64_t lease = next_lease_++;
  leases_[lease] = {time_to_live, SteadyClock::now() + time_to_live};
  return MakeAnswer(200, R"({"lease":)" + Number(lease) + R"(,"ttl_ms":)" +
                             Number(time_to_live.count()) + "}");
}

std::string Store::HandleKeepLease(const std::string& target) {
  const std::lock_guard lock(mutex_);
  EndLeases();
  const auto lease = leases_.find(LastNumberOf(target));
  if (lease == leases_.end()) {
    return MakeAnswer(404, "{}");
  }
  lease->second.ends = SteadyClock::now() + lease->second.time_to_live;
  last_renewal_ = SteadyClock::now();
  return MakeAnswer(
      200, R"({"ttl_ms":)" + Number(lease->second.time_to_live.count()) + "}");
}

std::string Store::HandleEndLease(const std::string& target) {
  const std::lock_guard lock(mutex_);
  const auto lease = leases_.find(LastNumberOf(target));
  if (lease == leases_.end()) {
    return MakeAnswer(404, "{}");
  }
  lease->second.ends = SteadyClock::now();
  EndLeases();
  return MakeAnswer(200, "{}");
}

void Store::WriteItem(const std::string& key,
                      const std::string& value,
                      std::int64_t lease) {
  ++revision_;
  const auto known = items_.find(key);
  const std::int64_t created =
      known == items_.end() ? revision_ : known->second.created;
  items_[key] = {value, revision_, created, lease};
  history_.push_back({key, revision_, items_[key]});
  did_change_.notify_all();
}

void Store::RemoveItem(const std::string& key) {
  if (items_.erase(key) == 0) {
    return;
  }
  history_.push_back({key, ++revision_, std::nullopt});
  did_change_.notify_all();
}

void Store::EndLeases() {
  const Time now = SteadyClock::now();
  std::erase_if(leases_, [&](const auto& lease) {
    if (lease.second.ends > now) {
      return false;
    }
    std::vector<std::string> keys;
    for (const auto& [key, item] : items_) {
      if (item.lease == lease.first) {
        keys.push_back(key);
      }
    }
    for (const std::string& key : keys) {
      RemoveItem(key);
    }
    return true;
  });
}

std::string Store::EventsAfter(const std::string& prefix,
                               std::int64_t after) const {
  std::string events;
  for (const Change& change : history_) {
    if (change.revision <= after || !change.key.starts_with(prefix)) {
      continue;
    }
    events += (events.empty() ? "" : ",") + std::string(R"({"key":)") +
              Quote(change.key) + R"(,"rev":)" + Number(change.revision);
    if (change.item) {
      events += R"(,"value":)" + Quote(EncodeBase64(change.item->value)) +
                R"(,"created":)" + Number(change.item->created) +
                R"(,"lease":)" + Number(change.item->lease) + "}";
    } else {
      events += R"(,"removed":true})";
    }
  }
  return events;
}

}  // namespace medlarspread::review
