// Conversion of JSON to the blackboard's types.

#include "src/platform/configuration_decoder.h"

#include <algorithm>
#include <memory>
#include <optional>
#include <utility>

#include <cpprest/json.h>

#include "src/http1/caller_listener.h"
#include "src/store/json_fields.h"

namespace medlarspread::platform {

namespace {

using blackboard::RoutesView;
using blackboard::UpstreamState;
using blackboard::WorkRoute;
using store::FindArray;
using store::ReadInteger;
using store::ReadNumber;
using store::ReadString;
using web::json::value;

// A leaf that stays cold for less time than this reaches full speed before a
// request could notice the difference.
constexpr double kNegligibleColdMs = 300.0;
// No leaf processes more requests at once; larger numbers are invalid.
constexpr std::int64_t kMaxSlots = 1'000'000;
// One year. Longer times are invalid as timeouts and would overflow the clock.
constexpr double kMaxDurationMs = 365.0 * 24 * 3600 * 1000;
constexpr std::int64_t kMaxRecords = 1'000'000'000;
constexpr std::int64_t kLowestPriority = 1'000'000;
constexpr std::int64_t kMaxAttempts = 1'000;
constexpr std::int64_t kMaxConnections = 1'000'000;

base::Error Malformed(const std::string& what) {
  return base::MakeError(base::ErrorCode::kMalformed, base::Step::kTargets, "",
                         what);
}

std::optional<base::Duration> ReadMilliseconds(const value& object,
                                               const char* field) {
  const auto number = ReadNumber(object, field);
  if (!number || *number < 0.0 || *number > kMaxDurationMs) {
    return std::nullopt;
  }
  constexpr double kMicrosecondsPerMillisecond = 1000.0;
  return base::Duration(
      static_cast<std::int64_t>(*number * kMicrosecondsPerMillisecond));
}

std::optional<blackboard::WeightedCollections> DecodeSplit(const value& split) {
  blackboard::WeightedCollections collections;
  for (const value& row : split.as_array()) {
    const auto service = ReadString(row, "service");
    const auto weight = ReadNumber(row, "weight");
    if (!service || !weight || *weight < 0.0) {
      return std::nullopt;
    }
    collections.parts.push_back({*service, *weight});
  }
  return collections;
}

std::optional<blackboard::AllShards> DecodeGather(const value& route,
                                                  const value& gather) {
  blackboard::AllShards all;
  for (const value& shard : gather.as_array()) {
    if (!shard.is_string()) {
      return std::nullopt;
    }
    all.shards.push_back(shard.as_string());
  }
  const auto most = ReadInteger(route, "top_k");
  if (!most || *most < 0 || *most > kMaxRecords || all.shards.empty()) {
    return std::nullopt;
  }
  all.most_records = static_cast<std::size_t>(*most);
  return all;
}

std::optional<blackboard::Destination> DecodeDestination(const value& route) {
  if (const value* gather = FindArray(route, "gather")) {
    return DecodeGather(route, *gather);
  }
  if (const value* split = FindArray(route, "split")) {
    return DecodeSplit(*split);
  }
  if (const auto service = ReadString(route, "service")) {
    return blackboard::OneCollection{*service};
  }
  return std::nullopt;
}

std::shared_ptr<const WorkRoute> DecodeRoute(const value& row) {
  const auto name = ReadString(row, "name");
  const auto host = ReadString(row, "host");
  const auto prefix = ReadString(row, "prefix");
  const auto timeout = ReadMilliseconds(row, "timeout_ms");
  const auto destination = DecodeDestination(row);
  if (!name || !host || !prefix || !timeout || !destination) {
    return nullptr;
  }
  auto route = std::make_shared<WorkRoute>();
  route->targets.name = *name;
  route->targets.latency = ReadMilliseconds(row, "slo_ms").value_or(*timeout);
  route->targets.coverage = ReadNumber(row, "min_coverage").value_or(1.0);
  route->host = *host;
  route->prefix = *prefix;
  route->destination = *destination;
  route->is_idempotent = ReadString(row, "kind") == "idempotent";
  route->priority = static_cast<int>(std::clamp<std::int64_t>(
      ReadInteger(row, "priority").value_or(0), 0, kLowestPriority));
  route->timeout = *timeout;
  route->most_attempts = static_cast<int>(std::clamp<std::int64_t>(
      ReadInteger(row, "attempts").value_or(1), 1, kMaxAttempts));
  return route;
}

void DecodeLimits(const value& object, blackboard::CallerLimits& limits) {
  const auto header = ReadInteger(object, "max_header_bytes");
  const auto body = ReadInteger(object, "max_body_bytes");
  if (header && *header > 0) {
    limits.header_bytes = static_cast<std::size_t>(*header);
  }
  if (body && *body >= 0) {
    limits.body_bytes = static_cast<std::size_t>(*body);
  }
  limits.header_timeout = ReadMilliseconds(object, "header_timeout_ms")
                              .value_or(limits.header_timeout);
  limits.idle_timeout =
      ReadMilliseconds(object, "idle_timeout_ms").value_or(limits.idle_timeout);
}

std::optional<UpstreamState> DecodeState(const std::string& text) {
  if (text == "ready") {
    return UpstreamState::kServing;
  }
  if (text == "draining") {
    return UpstreamState::kDraining;
  }
  return std::nullopt;
}

// Zero if the leaf does not report its start; absent if the reported value is
// invalid.
std::optional<std::int64_t> DecodeStart(const value& object) {
  if (!store::HasField(object, "born")) {
    return 0;
  }
  const auto started = ReadInteger(object, "born");
  return started && *started > 0 ? started : std::nullopt;
}

}  // namespace

base::Result<RoutesView> DecodeConfiguration(const std::string& text) {
  const auto object = store::ParseObject(text);
  if (!object) {
    return Malformed("the configuration is not a JSON object");
  }
  const auto version = ReadInteger(*object, "version");
  const value* routes = FindArray(*object, "routes");
  if (!version || *version <= 0 || routes == nullptr) {
    return Malformed("the configuration has no version or routes");
  }
  RoutesView view;
  view.revision = *version;
  for (const value& row : routes->as_array()) {
    auto route = DecodeRoute(row);
    if (!route) {
      return Malformed("a route of revision " + std::to_string(*version) +
                       " has a missing or invalid field");
    }
    view.routes.push_back(std::move(route));
  }
  if (const value* services = FindArray(*object, "services")) {
    for (const value& row : services->as_array()) {
      const auto name = ReadString(row, "name");
      const auto connections = ReadInteger(row, "max_conns");
      if (name && connections && *connections > 0) {
        view.connections[*name] =
            static_cast<int>(std::min(kMaxConnections, *connections));
      }
    }
  }
  if (store::HasField(*object, "limits")) {
    DecodeLimits(object->at("limits"), view.limits);
  }
  return view;
}

base::Result<upstream::LeafEntry> DecodeLeaf(const std::string& id,
                                             const std::string& text,
                                             base::MonotonicTime now) {
  const auto object = store::ParseObject(text);
  if (!object) {
    return Malformed("the entry of leaf " + id + " is not a JSON object");
  }
  const auto service = ReadString(*object, "service");
  const auto address = ReadString(*object, "addr");
  const auto zone = ReadString(*object, "zone");
  const auto version = ReadString(*object, "version");
  const auto slots = ReadInteger(*object, "slots");
  const auto cold_ms = ReadNumber(*object, "warmup_left_ms");
  const auto sequence = ReadInteger(*object, "seq");
  if (!service || !zone || !version || !slots || !cold_ms || !sequence) {
    return Malformed("the entry of leaf " + id +
                     " has a missing or invalid field");
  }
  if (!address || !http1::ParseEndpoint(*address).is_ok()) {
    return Malformed("the entry of leaf " + id + " has no valid address");
  }
  if (service->empty() || *slots < 1 || *slots > kMaxSlots || *cold_ms < 0.0) {
    return Malformed("the entry of leaf " + id + " has a field out of range");
  }
  const auto state = DecodeState(ReadString(*object, "state").value_or(""));
  if (!state) {
    return Malformed("the entry of leaf " + id + " has an unknown state");
  }
  const auto started = DecodeStart(*object);
  if (!started) {
    return Malformed("the entry of leaf " + id + " has an invalid start time");
  }
  upstream::LeafEntry entry;
  entry.started_wall_ms = *started;
  entry.sequence = *sequence;
  blackboard::Upstream& leaf = entry.upstream;
  leaf.id = id;
  leaf.name = upstream::MakeLeafName(id, *started);
  leaf.address = *address;
  leaf.failure_domain = *zone;
  leaf.collection = *service;
  leaf.slots = static_cast<int>(*slots);
  leaf.state = *state;
  if (*state == UpstreamState::kServing && *cold_ms > kNegligibleColdMs) {
    leaf.state = UpstreamState::kCold;
    leaf.cold_since = now;
  }
  return entry;
}

}  // namespace medlarspread::platform
