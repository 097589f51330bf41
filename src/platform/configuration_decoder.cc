// JSON to the blackboard's types.

#include "src/platform/configuration_decoder.h"

#include <algorithm>
#include <memory>
#include <optional>
#include <utility>

#include <cpprest/json.h>

#include "src/store/json_fields.h"

namespace medlarspread::platform {

namespace {

using blackboard::RoutesView;
using blackboard::WorkRoute;
using store::FindArray;
using store::ReadInteger;
using store::ReadNumber;
using store::ReadString;
using web::json::value;

// A leaf that is cold for less time than this is at its speed before a request
// could tell the difference.
constexpr std::int64_t kNegligibleColdMs = 300;

base::Error Malformed(const std::string& what) {
  return base::MakeError(base::ErrorCode::kMalformed, base::Step::kTargets, "",
                         what);
}

std::optional<base::Duration> ReadMilliseconds(const value& object,
                                               const char* field) {
  const auto number = ReadNumber(object, field);
  if (!number || *number < 0.0) {
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
  if (!most || *most < 0 || all.shards.empty()) {
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
  route->priority = static_cast<int>(ReadInteger(row, "priority").value_or(0));
  route->timeout = *timeout;
  route->most_attempts = static_cast<int>(
      std::max<std::int64_t>(1, ReadInteger(row, "attempts").value_or(1)));
  return route;
}

void DecodeLimits(const value& object, blackboard::CallerLimits& limits) {
  const auto header = ReadInteger(object, "max_header_bytes");
  const auto body = ReadInteger(object, "max_body_bytes");
  limits.header_bytes =
      header ? static_cast<std::size_t>(*header) : limits.header_bytes;
  limits.body_bytes =
      body ? static_cast<std::size_t>(*body) : limits.body_bytes;
  limits.header_timeout = ReadMilliseconds(object, "header_timeout_ms")
                              .value_or(limits.header_timeout);
  limits.idle_timeout =
      ReadMilliseconds(object, "idle_timeout_ms").value_or(limits.idle_timeout);
}

}  // namespace

base::Result<RoutesView> DecodeConfiguration(const std::string& text) {
  const auto object = store::ParseObject(text);
  if (!object) {
    return Malformed("the configuration is no JSON object");
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
                       " lacks a field or has an odd one");
    }
    view.routes.push_back(std::move(route));
  }
  if (const value* services = FindArray(*object, "services")) {
    for (const value& row : services->as_array()) {
      const auto name = ReadString(row, "name");
      const auto connections = ReadInteger(row, "max_conns");
      if (name && connections && *connections > 0) {
        view.connections[*name] = static_cast<int>(*connections);
      }
    }
  }
  if (store::HasField(*object, "limits")) {
    DecodeLimits(object->at("limits"), view.limits);
  }
  return view;
}

base::Result<blackboard::Upstream> DecodeLeaf(const std::string& id,
                                              const std::string& text,
                                              base::MonotonicTime now) {
  const auto object = store::ParseObject(text);
  if (!object) {
    return Malformed("the entry of leaf " + id + " is no JSON object");
  }
  const auto service = ReadString(*object, "service");
  const auto address = ReadString(*object, "addr");
  const auto zone = ReadString(*object, "zone");
  const auto state = ReadString(*object, "state");
  if (!service || !address || !zone || !state) {
    return Malformed("the entry of leaf " + id + " lacks a field");
  }
  blackboard::Upstream leaf;
  leaf.name = id;
  leaf.address = *address;
  leaf.failure_domain = *zone;
  leaf.collection = *service;
  leaf.slots = static_cast<int>(
      std::max<std::int64_t>(1, ReadInteger(*object, "slots").value_or(1)));
  const auto cold = ReadInteger(*object, "warmup_left_ms").value_or(0);
  if (*state == "draining") {
    leaf.state = blackboard::UpstreamState::kDraining;
  } else if (cold > kNegligibleColdMs) {
    leaf.state = blackboard::UpstreamState::kCold;
    leaf.cold_since = now;
  }
  return leaf;
}

}  // namespace medlarspread::platform
