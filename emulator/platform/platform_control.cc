// The VM list and the control calls of the platform's service.

#include "emulator/platform/platform_service.h"

#include <utility>

#include <cpprest/json.h>

namespace medlarspread::emulator {

namespace {

using store::Vm;
using store::VmRole;
using web::json::value;

constexpr base::NameTable<VmRole, 2> kRoles{
    {{{VmRole::kEntry, "entry"}, {VmRole::kUpstream, "upstream"}}}};
constexpr const char* kGone = "gone";

http::Response Reply(int status, const value& body) {
  return {status, {}, body.serialize(), "application/json"};
}

std::string TextOf(const value& json, const std::string& name) {
  return json.has_field(name) ? json.at(name).as_string() : "";
}

std::int64_t NumberOf(const value& json,
                      const std::string& name,
                      std::int64_t fallback) {
  return json.has_field(name) ? json.at(name).as_number().to_int64() : fallback;
}

bool IsSet(const value& json, const std::string& name) {
  return json.has_field(name) && json.at(name).as_bool();
}

Vm ToVm(const value& json) {
  Vm vm;
  vm.name = json.at("name").as_string();
  vm.role =
      kRoles.ValueOf(json.at("role").as_string()).value_or(VmRole::kEntry);
  vm.address = json.at("address").as_string();
  vm.region = TextOf(json, "region");
  vm.failure_domain = TextOf(json, "failure_domain");
  vm.is_leaving = TextOf(json, "state") == "leaving";
  vm.collection = TextOf(json, "collection");
  return vm;
}

value ToJson(const Vm& vm) {
  value json;
  json["name"] = value::string(vm.name);
  json["role"] = value::string(kRoles.NameOf(vm.role));
  json["address"] = value::string(vm.address);
  json["region"] = value::string(vm.region);
  json["failure_domain"] = value::string(vm.failure_domain);
  json["state"] = value::string(vm.is_leaving ? "leaving" : "live");
  json["collection"] = value::string(vm.collection);
  return json;
}

// Adds the row or replaces the one with its name, or removes that one.
void MergeRow(std::vector<Vm>& vms, const value& json) {
  const std::string name = json.at("name").as_string();
  std::erase_if(vms, [&name](const Vm& vm) { return vm.name == name; });
  if (TextOf(json, "state") != kGone) {
    vms.push_back(ToVm(json));
  }
}

}  // namespace

http::Response PlatformService::Vms() {
  value rows = value::array();
  for (const Vm& vm : vms_.Read(clock_.Now())) {
    rows[rows.size()] = ToJson(vm);
  }
  value body;
  body["vms"] = std::move(rows);
  return Reply(http::kOk, body);
}

http::Response PlatformService::HandleControl(const http::Request& request) {
  if (request.path == "/control/vms") {
    return SetVms(request);
  }
  if (request.path == "/control/faults") {
    return SetFaults(request.body);
  }
  if (request.path == "/control/counts") {
    return Counts();
  }
  if (request.path == "/control/checkpoint") {
    store_.Checkpoint();
    return Reply(http::kOk, value::object());
  }
  if (request.path == "/control/restore") {
    const value json =
        request.body.empty() ? value::object() : value::parse(request.body);
    store_.Restore(IsSet(json, "repeats_versions"));
    WakeWatches();
    return Reply(http::kOk, value::object());
  }
  return Reply(http::kNotFound, value::object());
}

http::Response PlatformService::SetVms(const http::Request& request) {
  const value json = value::parse(request.body);
  std::vector<Vm> vms;
  if (request.method == "POST") {
    vms = vms_.latest();
  }
  for (const value& row : json.at("vms").as_array()) {
    MergeRow(vms, row);
  }
  const auto lag = base::Milliseconds(NumberOf(json, "lag_ms", 0));
  vms_.Set(std::move(vms), clock_.Now() + lag);
  return Reply(http::kOk, value::object());
}

http::Response PlatformService::SetFaults(const std::string& body) {
  const value json = value::parse(body);
  if (json.has_field("outage_spares_vms")) {
    faults_.outage_spares_vms = json.at("outage_spares_vms").as_bool();
  }
  if (json.has_field("outage")) {
    const auto outage = kOutages.ValueOf(json.at("outage").as_string());
    faults_.outage = outage.value_or(Outage::kNone);
    DidChangeOutage();
  }
  if (json.has_field("lost_reply")) {
    faults_.lost_reply = kLostReplies.ValueOf(json.at("lost_reply").as_string())
                             .value_or(LostReply::kHang);
  }
  if (json.has_field("key_prefix")) {
    faults_.key_prefix = json.at("key_prefix").as_string();
  }
  faults_.delay = base::Milliseconds(
      NumberOf(json, "delay_ms", faults_.delay / base::Milliseconds(1)));
  faults_.reply_delay = base::Milliseconds(NumberOf(
      json, "reply_delay_ms", faults_.reply_delay / base::Milliseconds(1)));
  faults_.lose_write_replies = static_cast<int>(
      NumberOf(json, "lose_write_replies", faults_.lose_write_replies));
  faults_.fail_writes =
      static_cast<int>(NumberOf(json, "fail_writes", faults_.fail_writes));
  return Reply(http::kOk, value::object());
}

void PlatformService::DidChangeOutage() {
  const http::Response unavailable{http::kServiceUnavailable,
                                   {},
                                   R"({"error":"outage"})",
                                   "application/json"};
  // Calls held by a hanging outage fail once the outage ends or changes.
  if (faults_.outage != Outage::kHang) {
    for (const http::Responder& respond : std::exchange(held_calls_, {})) {
      respond(unavailable);
    }
  }
  if (faults_.outage == Outage::kNone) {
    return;
  }
  for (const auto& watch : std::exchange(watches_, {})) {
    watch->timeout.Cancel();
    if (faults_.outage == Outage::kHang) {
      held_calls_.push_back(watch->respond);
    } else {
      watch->respond(unavailable);
    }
  }
}

http::Response PlatformService::Counts() const {
  value body;
  for (const auto& [kind, name] : kCallKinds.rows) {
    body[name] = value::number(meter_.count(kind));
  }
  body["over_rate"] = value::number(meter_.over_rate());
  body["waiting_watches"] = value::number(watches_.size());
  body["lose_write_replies_left"] = value::number(faults_.lose_write_replies);
  return Reply(http::kOk, body);
}

}  // namespace medlarspread::emulator
