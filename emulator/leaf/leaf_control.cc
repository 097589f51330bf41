// Health and load pages and control calls of a leaf's HTTP service.

#include "emulator/leaf/leaf_service.h"

#include <utility>

#include <cpprest/json.h>

#include "emulator/leaf/holding_json.h"

namespace medlarspread::emulator {

namespace {

using web::json::value;

http::Response Reply(int status, const value& body) {
  return {status, {}, body.serialize(), "application/json"};
}

double NumberOf(const value& json, const std::string& name, double fallback) {
  return json.has_field(name) ? json.at(name).as_double() : fallback;
}

base::Duration DurationOf(const value& json,
                          const std::string& name,
                          base::Duration fallback) {
  return base::Milliseconds(static_cast<std::int64_t>(
      NumberOf(json, name, base::ToMilliseconds(fallback))));
}

}  // namespace

http::Response LeafService::HandleCancel(const std::string& body) {
  const std::string attempt_id =
      value::parse(body).at("attempt_id").as_string();
  value reply;
  reply["known"] = value::boolean(queue_->Cancel(attempt_id));
  return Reply(http::kAccepted, reply);
}

http::Response LeafService::HealthPage() {
  const Health& shown = shown_health_.Read(clock_.Now());
  value body;
  body["name"] = value::string(settings_.name);
  body["collection"] = value::string(settings_.collection);
  body["state"] = value::string(kLeafStates.NameOf(shown.state));
  body["slots"] = value::number(settings_.slots);
  body["connections"] = value::number(settings_.connections);
  body["holdings"] = value::parse(HoldingsJson(shown.holdings));
  return Reply(http::kOk, body);
}

http::Response LeafService::LoadPage() const {
  const LeafLoad load = Load();
  value body;
  body["running"] = value::number(load.running);
  body["queued"] = value::number(load.queued);
  body["slots"] = value::number(load.slots);
  return Reply(http::kOk, body);
}

http::Response LeafService::HandleControl(const std::string& body) {
  const value json = value::parse(body);
  if (json.has_field("holdings")) {
    const auto holdings = ParseHoldings(json.at("holdings").as_string());
    if (!holdings.is_ok()) {
      return InvalidReply("holdings");
    }
    health_.holdings = holdings.value();
  }
  if (json.has_field("state")) {
    const auto state = kLeafStates.ValueOf(json.at("state").as_string());
    if (!state) {
      return InvalidReply("state");
    }
    health_.state = *state;
    run_log_.SetDraining(*state == LeafState::kDraining);
  }
  if (json.has_field("faults")) {
    // Respond to the requests whose replies were withheld, so that their
    // connections are released. Their callers have timed out by now.
    for (const http::Responder& respond : std::exchange(withheld_, {})) {
      respond(ErrorReply(http::kGatewayTimeout, "deadline", /*ran=*/true, {},
                         StateName()));
    }
    for (const auto& [fault, name] : kReplyFaults.rows) {
      fault_shares_.set_share(fault, NumberOf(json.at("faults"), name, 0.0));
    }
  }
  if (json.has_field("refuse")) {
    forced_refusal_ = json.at("refuse").as_string();
  }
  if (json.has_field("refuses_when_draining")) {
    refuses_when_draining_ = json.at("refuses_when_draining").as_bool();
  }
  slow_factor_ = NumberOf(json, "slow_factor", slow_factor_);
  late_ = DurationOf(json, "late_ms", late_);
  health_lag_ = DurationOf(json, "health_lag_ms", health_lag_);
  shown_health_.Set(health_, clock_.Now() + health_lag_);
  return Reply(http::kOk, value::object());
}

}  // namespace medlarspread::emulator
