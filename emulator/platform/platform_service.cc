// Implements the key-value calls of the platform's HTTP service.

#include "emulator/platform/platform_service.h"

#include <optional>
#include <string_view>
#include <utility>

#include <cpprest/json.h>

namespace medlarspread::emulator {

namespace {

using web::json::value;

constexpr std::string_view kKeyPath = "/v1/kv/";
constexpr std::string_view kLeasePath = "/v1/lease/";
constexpr std::string_view kRenewSuffix = "/renew";
constexpr std::string_view kControlPath = "/control/";

http::Response Reply(int status, const value& body) {
  return {status, {}, body.serialize(), "application/json"};
}

http::Response ReplyError(int status, const std::string& error) {
  value body;
  body["error"] = value::string(error);
  return Reply(status, body);
}

value ToJson(const store::Entry& entry) {
  value json;
  json["key"] = value::string(entry.key);
  json["value"] = value::string(entry.value);
  json["version"] = value::number(entry.version);
  return json;
}

// Returns the kind of call, or nothing for an unknown path.
std::optional<CallKind> ClassifyCall(const http::Request& request) {
  if (request.path.starts_with(kKeyPath)) {
    if (request.method == "GET") {
      return CallKind::kGet;
    }
    return request.method == "PUT" ? CallKind::kPut : CallKind::kErase;
  }
  if (request.path == "/v1/kv") {
    return CallKind::kList;
  }
  if (request.path == "/v1/watch") {
    return CallKind::kWatch;
  }
  if (request.path == "/v1/vms") {
    return CallKind::kVms;
  }
  if (request.path.starts_with("/v1/lease")) {
    return CallKind::kLease;
  }
  return std::nullopt;
}

std::string KeyOf(const http::Request& request) {
  return request.path.substr(kKeyPath.size());
}

// Returns the integer in parameter `name`, or nothing.
std::optional<std::int64_t> NumberOf(const http::Request& request,
                                     const std::string& name) {
  const auto parameter = request.parameters.find(name);
  if (parameter == request.parameters.end()) {
    return std::nullopt;
  }
  try {
    return std::stoll(parameter->second);
  } catch (const std::exception&) {
    return std::nullopt;
  }
}

std::string TextOf(const http::Request& request, const std::string& name) {
  const auto parameter = request.parameters.find(name);
  return parameter == request.parameters.end() ? "" : parameter->second;
}

http::Response ReplyOutcome(const StoreOutcome& outcome) {
  value body;
  body["version"] = value::number(outcome.version);
  switch (outcome.status) {
    case StoreStatus::kOk:
      return Reply(http::kOk, body);
    case StoreStatus::kNotFound:
      return Reply(http::kNotFound, body);
    case StoreStatus::kConflict:
      return Reply(http::kConflict, body);
    case StoreStatus::kTooLarge:
      return ReplyError(http::kPayloadTooLarge, "value too large");
  }
  return ReplyError(http::kInternalError, "internal");
}

}  // namespace

PlatformService::PlatformService(CallRates rates,
                                 base::Clock clock,
                                 base::TaskRunner runner)
    : clock_(clock),
      runner_(std::move(runner)),
      store_(clock),
      meter_(rates, clock) {}

void PlatformService::DidReceive(const http::Request& request,
                                 http::Responder respond) {
  runner_.Post(
      [self = shared_from_this(), request, respond = std::move(respond)] {
        try {
          self->Handle(request, respond);
        } catch (const web::json::json_exception& failure) {
          respond(ReplyError(http::kBadRequest, failure.what()));
        }
      });
}

void PlatformService::Handle(const http::Request& request,
                             const http::Responder& respond) {
  if (request.path.starts_with(kControlPath)) {
    respond(HandleControl(request));
    return;
  }
  const auto kind = ClassifyCall(request);
  if (!kind) {
    respond(ReplyError(http::kNotFound, "no such path"));
    return;
  }
  if (!meter_.Admit(*kind)) {
    respond(ReplyError(http::kTooManyRequests, "over rate"));
    return;
  }
  const bool is_spared = *kind == CallKind::kVms && faults_.outage_spares_vms;
  if (faults_.outage == Outage::kHang && !is_spared) {
    held_calls_.push_back(respond);
    return;
  }
  if (faults_.outage == Outage::kRefuse && !is_spared) {
    respond(ReplyError(http::kServiceUnavailable, "outage"));
    return;
  }
  if (faults_.delay.count() == 0) {
    Execute(request, respond);
    return;
  }
  runner_.After(faults_.delay, [self = shared_from_this(), request, respond] {
    self->Execute(request, respond);
  });
}

void PlatformService::Execute(const http::Request& request,
                              const http::Responder& respond) {
  switch (*ClassifyCall(request)) {
    case CallKind::kGet:
      return ReplyLater(respond, Get(KeyOf(request)));
    case CallKind::kPut:
    case CallKind::kErase:
      return ExecuteWrite(request, respond);
    case CallKind::kList:
      return ReplyLater(respond, List(TextOf(request, "prefix")));
    case CallKind::kWatch:
      return StartWatch(request, respond);
    case CallKind::kLease:
      return ReplyLater(respond, HandleLease(request));
    case CallKind::kVms:
      return ReplyLater(respond, Vms());
  }
}

void PlatformService::ExecuteWrite(const http::Request& request,
                                   const http::Responder& respond) {
  const std::string key = KeyOf(request);
  const bool is_faulty = key.starts_with(faults_.key_prefix);
  if (is_faulty && faults_.fail_writes > 0) {
    --faults_.fail_writes;
    respond(ReplyError(http::kInternalError, "internal"));
    return;
  }
  http::Response response =
      request.method == "PUT" ? Put(key, request.body) : Erase(request, key);
  WakeWatches();
  if (!is_faulty || faults_.lose_write_replies == 0) {
    ReplyLater(respond, std::move(response));
    return;
  }
  --faults_.lose_write_replies;
  if (faults_.lost_reply == LostReply::kHang) {
    held_calls_.push_back(respond);
  } else {
    respond(ReplyError(http::kInternalError, "internal"));
  }
}

void PlatformService::ReplyLater(const http::Responder& respond,
                                 http::Response response) {
  if (faults_.reply_delay.count() == 0) {
    respond(std::move(response));
    return;
  }
  runner_.After(faults_.reply_delay, [respond, response = std::move(response)] {
    respond(response);
  });
}

http::Response PlatformService::Get(const std::string& key) {
  const auto entry = store_.Read(key);
  return entry ? Reply(http::kOk, ToJson(*entry))
               : ReplyError(http::kNotFound, "not found");
}

http::Response PlatformService::Put(const std::string& key,
                                    const std::string& body) {
  const value json = value::parse(body);
  std::string lease_id;
  if (json.has_string_field("lease_id")) {
    lease_id = json.at("lease_id").as_string();
  }
  return ReplyOutcome(store_.Write(
      key, json.at("value").as_string(),
      json.at("expected_version").as_number().to_int64(), lease_id));
}

http::Response PlatformService::Erase(const http::Request& request,
                                      const std::string& key) {
  const auto expected_version = NumberOf(request, "expected_version");
  if (!expected_version) {
    return ReplyError(http::kBadRequest, "expected_version");
  }
  return ReplyOutcome(store_.Erase(key, *expected_version));
}

http::Response PlatformService::List(const std::string& prefix) {
  value entries = value::array();
  for (const store::Entry& entry : store_.List(prefix)) {
    entries[entries.size()] = ToJson(entry);
  }
  value body;
  body["entries"] = std::move(entries);
  return Reply(http::kOk, body);
}

http::Response PlatformService::HandleLease(const http::Request& request) {
  if (request.path == "/v1/lease") {
    const auto ttl_ms =
        value::parse(request.body).at("ttl_ms").as_number().to_int64();
    value body;
    body["lease_id"] =
        value::string(store_.CreateLease(base::Milliseconds(ttl_ms)));
    return Reply(http::kOk, body);
  }
  std::string lease_id = request.path.substr(kLeasePath.size());
  const bool is_renewal = lease_id.ends_with(kRenewSuffix);
  if (is_renewal) {
    lease_id.resize(lease_id.size() - kRenewSuffix.size());
  }
  const bool is_known =
      is_renewal ? store_.RenewLease(lease_id) : store_.EndLease(lease_id);
  return Reply(is_known ? http::kOk : http::kNotFound, value::object());
}

void PlatformService::StartWatch(const http::Request& request,
                                 const http::Responder& respond) {
  const auto after_version = NumberOf(request, "after_version");
  const auto wait_ms = NumberOf(request, "wait_ms");
  if (!after_version || !wait_ms) {
    respond(ReplyError(http::kBadRequest, "after_version, wait_ms"));
    return;
  }
  auto watch = std::make_shared<Watch>(
      Watch{TextOf(request, "key"), *after_version, respond, {}});
  watch->timeout = runner_.After(
      base::Milliseconds(*wait_ms), [self = shared_from_this(), watch] {
        if (self->watches_.remove(watch) > 0) {
          watch->respond({http::kNoContent, {}, "", "application/json"});
        }
      });
  watches_.push_back(watch);
  WakeWatches();
}

void PlatformService::WakeWatches() {
  for (auto iterator = watches_.begin(); iterator != watches_.end();) {
    const std::shared_ptr<Watch> watch = *iterator;
    const auto entry = store_.Read(watch->key);
    if (!entry || entry->version <= watch->after_version) {
      ++iterator;
      continue;
    }
    watch->timeout.Cancel();
    ReplyLater(watch->respond, Reply(http::kOk, ToJson(*entry)));
    iterator = watches_.erase(iterator);
  }
}

}  // namespace medlarspread::emulator
