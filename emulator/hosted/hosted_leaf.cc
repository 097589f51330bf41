// Answers with a proof, refuses, or doesn't answer.

#include "emulator/hosted/hosted_leaf.h"

#include <functional>
#include <utility>

#include "src/base/json_string.h"

namespace medlarspread::emulator {

namespace {

using http1::Response;
using http1::Status;

constexpr int kHttpVersion = 11;
constexpr const char* kRequestId = "Medlarspread-Request-Id";

Response MakeRefusal(Status status, const std::string& request_id) {
  Response response(status, kHttpVersion);
  response.set(kRequestId, request_id);
  response.set("Medlarspread-Not-Executed", "1");
  response.prepare_payload();
  return response;
}

}  // namespace

HostedLeaf::HostedLeaf(boost::asio::io_context& context,
                       std::string id,
                       std::string service,
                       std::string zone)
    : runner_(context),
      id_(std::move(id)),
      service_(std::move(service)),
      zone_(std::move(zone)),
      random_(std::hash<std::string>{}(id_)) {
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

std::string HostedLeaf::MakeEntry(const std::string& state,
                                  const std::string& address) const {
  const std::int64_t started = started_wall_ms_;
  return R"({"service":)" + base::JsonString(service_) + R"(,"addr":)" +
         base::JsonString(address.empty() ? this->address() : address) +
         R"(,"zone":)" + base::JsonString(zone_) +
         R"(,"version":"v1","slots":2,"state":)" + base::JsonString(state) +
         R"(,"warmup_left_ms":0,"seq":)" + std::to_string(++entries_) +
         (started == 0 ? "" : R"(,"born":)" + std::to_string(started)) + "}";
}

std::string HostedLeaf::address() const {
  return "127.0.0.1:" + std::to_string(listener_->port());
}

std::string HostedLeaf::RecordOf(const std::string& service) {
  constexpr std::size_t kRecordBytes = 16;
  return service + std::string(kRecordBytes - service.size(), '.');
}

int HostedLeaf::RunsOf(const std::string& request_id) const {
  const std::lock_guard lock(mutex_);
  const auto row = runs_by_request_.find(request_id);
  return row == runs_by_request_.end() ? 0 : row->second;
}

http1::Abandon HostedLeaf::Handle(const http1::Request& request,
                                  http1::Respond respond) {
  const std::string request_id(request[kRequestId]);
  if (did_arrive_) {
    did_arrive_(request_id);
  }
  if (request["Medlarspread-Expect-Instance"] != id_) {
    respond(MakeRefusal(Status::misdirected_request, request_id));
    return [] {};
  }
  if (behavior_ == LeafBehavior::kShed || random_.Unit() < refused_share_) {
    respond(MakeRefusal(Status::service_unavailable, request_id));
    return [] {};
  }
  ++runs_;
  {
    const std::lock_guard lock(mutex_);
    ++runs_by_request_[request_id];
  }
  const std::string target(request.target());
  if (target.find(kDeadlyWord) != std::string::npos) {
    runner_.Post([this] { End(); });
    return [] {};
  }
  base::Timer timer;
  if (behavior_ != LeafBehavior::kMute) {
    const bool has_proof = behavior_ != LeafBehavior::kNoProof;
    timer = runner_.After(work_, [this, request_id, has_proof, respond] {
      respond(MakeAnswer(request_id, has_proof));
    });
  }
  return [this, timer]() mutable {
    timer.Cancel();
    ++cancelled_;
  };
}

void HostedLeaf::End() {
  listener_->StopAccepting();
  listener_->CloseAll();
  if (did_end_) {
    did_end_();
  }
}

Response HostedLeaf::MakeAnswer(const std::string& request_id,
                                bool has_proof) const {
  Response response(Status::ok, kHttpVersion);
  response.set(kRequestId, request_id);
  if (has_proof) {
    response.set("Medlarspread-Leaf-Stamp", "stamp-" + id_);
  }
  response.body() = RecordOf(service_);
  response.prepare_payload();
  return response;
}

}  // namespace medlarspread::emulator
