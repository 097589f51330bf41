// Serves one request at a time on each connection.

#include "review/standins/leaf.h"

#include <chrono>
#include <functional>
#include <thread>
#include <utility>

namespace medlarspread::review {

namespace {

constexpr int kIdleTimeoutMs = 30'000;

}  // namespace

Leaf::Leaf(LeafSettings settings, Record& record)
    : settings_(std::move(settings)),
      record_(record),
      random_(static_cast<unsigned>(std::hash<std::string>{}(settings_.id))) {}

int Leaf::Open() {
  port_ = Listen(0, [this](Connection& connection) { Serve(connection); });
  return port_;
}

void Leaf::Register(Store& store, const std::string& state) {
  store.Put(
      "servers/" + settings_.id,
      "{\"service\":\"" + settings_.service + "\",\"addr\":\"127.0.0.1:" +
          std::to_string(port_) + "\",\"zone\":\"" + settings_.zone +
          "\",\"version\":\"v1\",\"slots\":" + std::to_string(settings_.slots) +
          ",\"state\":\"" + state + "\",\"warmup_left_ms\":0,\"seq\":" +
          std::to_string(++sequence_) + "}");
}

std::map<std::string, int> Leaf::runs() const {
  const std::lock_guard lock(mutex_);
  return runs_;
}

bool Leaf::Draw(double share) {
  const std::lock_guard lock(mutex_);
  return std::uniform_real_distribution<double>(0.0, 1.0)(random_) < share;
}

void Leaf::Serve(Connection& connection) {
  // The copy of the last answer that is still to be sent.
  std::string extra;
  while (const auto request = connection.Read(kIdleTimeoutMs)) {
    if (!extra.empty()) {
      ++extra_answers_;
      record_.Add(settings_.id + " sends its last answer a second time");
      connection.Write(std::exchange(extra, {}));
    }
    const std::string answer = Answer(*request);
    if (!connection.Write(answer)) {
      return;
    }
    if (Draw(extra_share_)) {
      extra = answer;
    }
  }
}

std::string Leaf::Answer(const Message& request) {
  const std::string id = request.header("medlarspread-request-id");
  if (request.header("medlarspread-expect-instance") != settings_.id) {
    return FormatResponse(421, {{"Medlarspread-Instance-Id", settings_.id}},
                          "");
  }
  if (id.empty()) {
    return FormatResponse(400, {{"Medlarspread-Not-Executed", "1"}}, "");
  }
  std::unique_lock lock(mutex_);
  if (running_ >= settings_.slots && queued_ >= settings_.queue) {
    ++rejections_;
    lock.unlock();
    record_.Add(settings_.id + " rejects " + id);
    return FormatResponse(
        503,
        {{"Medlarspread-Request-Id", id}, {"Medlarspread-Not-Executed", "1"}},
        "");
  }
  ++queued_;
  has_room_.wait(lock, [this] { return running_ < settings_.slots; });
  --queued_;
  ++running_;
  const int run = ++runs_[id];
  lock.unlock();
  record_.Add(settings_.id + " runs " + id + " (run " + std::to_string(run) +
              " here)");
  std::this_thread::sleep_for(std::chrono::milliseconds(settings_.work_ms));
  lock.lock();
  --running_;
  has_room_.notify_one();
  lock.unlock();
  return FormatResponse(200,
                        {{"Medlarspread-Request-Id", id},
                         {"Medlarspread-Leaf-Stamp", settings_.id + "." + id}},
                        "paid " + id);
}

}  // namespace medlarspread::review
