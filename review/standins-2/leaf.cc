// Requests, slots and the end of a leaf.

#include "review/standins-2/leaf.h"

#include <algorithm>
#include <cstdlib>
#include <thread>

#include <sys/socket.h>
#include <unistd.h>

namespace medlarspread::review {

namespace {

constexpr milliseconds kPollInterval(2);
constexpr const char* kRequestId = "Medlarspread-Request-Id";
constexpr const char* kNotExecuted = "Medlarspread-Not-Executed";

std::int64_t WallMilliseconds() {
  return std::chrono::duration_cast<milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

}  // namespace

Leaf::Leaf(LeafSettings settings)
    : settings_(std::move(settings)),
      born_(WallMilliseconds()),
      random_(std::hash<std::string>{}(settings_.id)),
      listener_(settings_.ip, [this](int handle) { Serve(handle); }) {}

std::string Leaf::MakeEntry() const {
  return R"({"service":")" + settings_.service + R"(","addr":")" +
         listener_.address() + R"(","zone":")" + settings_.zone +
         R"(","version":"v1","slots":)" + std::to_string(settings_.slots) +
         R"(,"state":"ready","warmup_left_ms":0,"seq":1,"born":)" +
         std::to_string(born_) + "}";
}

void Leaf::End() {
  has_ended_ = true;
  listener_.Stop();
  const std::lock_guard lock(mutex_);
  for (const int handle : sockets_) {
    const linger abort{1, 0};
    setsockopt(handle, SOL_SOCKET, SO_LINGER, &abort, sizeof(abort));
    shutdown(handle, SHUT_RD);
  }
}

std::vector<Run> Leaf::runs() const {
  const std::lock_guard lock(mutex_);
  return runs_;
}

void Leaf::Serve(int handle) {
  {
    const std::lock_guard lock(mutex_);
    sockets_.insert(handle);
  }
  std::string buffer;
  while (!has_ended_) {
    const auto request = ReadMessage(handle, buffer, std::nullopt);
    if (!request || has_ended_) {
      break;
    }
    const std::string answer = Handle(handle, *request);
    if (answer.empty() || has_ended_ || !Send(handle, answer)) {
      break;
    }
  }
  const std::lock_guard lock(mutex_);
  sockets_.erase(handle);
  close(handle);
}

std::string Leaf::Handle(int handle, const Message& request) {
  const std::string id = request.Field(kRequestId);
  if (request.SecondWord() == "/health") {
    return MakeResponse(200, {{"Medlarspread-Instance-Id", settings_.id}}, "");
  }
  if (id.empty()) {
    return MakeResponse(400, {{kNotExecuted, "1"}}, "");
  }
  const std::string expected = request.Field("Medlarspread-Expect-Instance");
  if (!expected.empty() && expected != settings_.id) {
    return MakeResponse(
        421, {{kRequestId, id}, {"Medlarspread-Instance-Id", settings_.id}},
        "");
  }
  if (waiting_ >= settings_.queue) {
    return MakeResponse(503, {{kRequestId, id}, {kNotExecuted, "1"}}, "");
  }
  ++waiting_;
  while (++working_ > settings_.slots) {
    --working_;
    std::this_thread::sleep_for(kPollInterval);
  }
  --waiting_;
  std::string answer = HandleRun(handle, request);
  --working_;
  return answer;
}

std::string Leaf::HandleRun(int handle, const Message& request) {
  const std::string id = request.Field(kRequestId);
  std::size_t number = 0;
  {
    const std::lock_guard lock(mutex_);
    number = runs_.size();
    runs_.push_back({id, SteadyClock::now(), false, "", "", false});
  }
  const std::string deadline = request.Field("Medlarspread-Deadline-Ms");
  if (!Work(handle, milliseconds(std::atoll(deadline.c_str())))) {
    return "";
  }
  const std::string stamp = settings_.service + "." + settings_.id + "." + id +
                            "." + std::to_string(number);
  const std::string body = settings_.make_body ? settings_.make_body()
                                               : "run by " + settings_.service;
  const std::string answer = MakeResponse(
      200, {{kRequestId, id}, {"Medlarspread-Leaf-Stamp", stamp}}, body);
  const std::lock_guard lock(mutex_);
  Run& run = runs_[number];
  run.is_complete = true;
  run.stamp = stamp;
  run.body = body;
  return Spoil(answer, run);
}

std::string Leaf::Spoil(const std::string& answer, Run& run) {
  std::uniform_real_distribution<double> unit;
  if (unit(random_) >= spoiled_share_) {
    return answer;
  }
  std::uniform_int_distribution<std::size_t> place(1, answer.find("\r\n\r\n"));
  run.is_spoiled = true;
  return answer.substr(0, place(random_)) + answer;
}

bool Leaf::Work(int handle, milliseconds deadline) {
  const Time end = SteadyClock::now() + std::min(settings_.work, deadline);
  while (SteadyClock::now() < end) {
    if (has_ended_ || IsClosedByPeer(handle)) {
      return false;
    }
    std::this_thread::sleep_for(kPollInterval);
  }
  return !has_ended_;
}

}  // namespace medlarspread::review
